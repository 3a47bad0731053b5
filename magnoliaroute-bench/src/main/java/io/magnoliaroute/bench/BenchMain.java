package io.magnoliaroute.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.magnoliaroute.bench.policy.DispatchCommand;
import io.magnoliaroute.bench.policy.FootprintCommand;
import io.magnoliaroute.bench.policy.PolicyCommand;
import java.util.concurrent.Callable;

/** Main class of the benchmarks. */
public final class BenchMain {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  private BenchMain() {}

  /**
   * Parses and runs a sub-command and exits with its exit code.
   *
   * @param args the name of the sub-command and its options
   */
  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  private static int run(String[] args) throws Exception {
    Object command;
    try {
      command = cli().parse(args);
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    }
    if (command instanceof Callable<?> callable) {
      return (Integer) callable.call();
    }
    ((Runnable) command).run();
    return EXIT_OK;
  }

  private static Cli<Object> cli() {
    CliBuilder<Object> builder = Cli.builder("magnoliaroute-bench");
    builder.withDescription("Benchmarks of magnoliaroute");
    builder.withDefaultCommand(Help.class);
    builder.withCommand(Help.class);
    builder.withCommand(PolicyCommand.class);
    builder.withCommand(DispatchCommand.class);
    builder.withCommand(FootprintCommand.class);
    builder.withCommand(CapacityCommand.class);
    builder.withCommand(PathCommand.class);
    return builder.build();
  }
}
