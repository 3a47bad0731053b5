package io.magnoliaroute.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.magnoliaroute.bench.capacity.BudgetSlopes;
import io.magnoliaroute.bench.capacity.ConfigSlopes;
import io.magnoliaroute.bench.capacity.LogSlopes;
import io.magnoliaroute.bench.capacity.MembershipSlopes;
import io.magnoliaroute.bench.capacity.MetricsSlopes;
import io.magnoliaroute.bench.capacity.WireSlopes;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.wire.WireException;
import java.util.concurrent.Callable;

/** Prints the slopes that docs/CAPACITY.md works with. */
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
    boolean known = all;
    if (all || only.equals("membership")) {
      new MembershipSlopes().run(System.out);
      known = true;
    }
    if (all || only.equals("log")) {
      LogSlopes.run(System.out);
      known = true;
    }
    if (all || only.equals("config")) {
      new ConfigSlopes().run(System.out);
      known = true;
    }
    if (all || only.equals("budget")) {
      BudgetSlopes.run(System.out);
      known = true;
    }
    if (all || only.equals("metrics")) {
      MetricsSlopes.run(System.out);
      known = true;
    }
    if (all || only.equals("wire")) {
      WireSlopes.run(System.out);
      known = true;
    }
    if (!known) {
      System.err.println("unknown role: '" + only + "'");
      return EXIT_USAGE;
    }
    return EXIT_OK;
  }
}
