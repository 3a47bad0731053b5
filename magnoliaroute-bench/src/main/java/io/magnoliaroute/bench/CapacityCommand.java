package io.magnoliaroute.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.magnoliaroute.bench.capacity.BudgetBenchmark;
import io.magnoliaroute.bench.capacity.ConfigBenchmark;
import io.magnoliaroute.bench.capacity.LogBenchmark;
import io.magnoliaroute.bench.capacity.MembershipBenchmark;
import io.magnoliaroute.bench.capacity.MetricsBenchmark;
import io.magnoliaroute.bench.capacity.WireBenchmark;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.wire.WireException;
import java.util.concurrent.Callable;

/** Runs the capacity benchmarks, whose results docs/CAPACITY.md extrapolates. */
@Command(name = "capacity", description = "Measures bytes, time and memory of each role")
public final class CapacityCommand implements Callable<Integer> {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  @Option(
      name = "--only",
      title = "role",
      description = "one of membership, log, config, budget, metrics, wire; default: all of them")
  private String only = "all";

  @Override
  public Integer call() throws MalformedRecordException, WireException, BudgetFormatException {
    boolean all = only.equals("all");
    boolean knownRole = all;
    if (all || only.equals("membership")) {
      new MembershipBenchmark().run(System.out);
      knownRole = true;
    }
    if (all || only.equals("log")) {
      LogBenchmark.run(System.out);
      knownRole = true;
    }
    if (all || only.equals("config")) {
      new ConfigBenchmark().run(System.out);
      knownRole = true;
    }
    if (all || only.equals("budget")) {
      BudgetBenchmark.run(System.out);
      knownRole = true;
    }
    if (all || only.equals("metrics")) {
      MetricsBenchmark.run(System.out);
      knownRole = true;
    }
    if (all || only.equals("wire")) {
      WireBenchmark.run(System.out);
      knownRole = true;
    }
    if (!knownRole) {
      System.err.println("unknown role: '" + only + "'");
      return EXIT_USAGE;
    }
    return EXIT_OK;
  }
}
