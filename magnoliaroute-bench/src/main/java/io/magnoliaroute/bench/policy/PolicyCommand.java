package io.magnoliaroute.bench.policy;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

/** Compares the scheduling policies under a virtual clock. */
@Command(name = "policy", description = "Compares scheduling policies under a virtual clock")
public final class PolicyCommand implements Callable<Integer> {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;

  @Option(name = "--json", description = "File for the measures and targets as JSON")
  private String jsonFile;

  @Option(name = "--length-percent", description = "Part of the full length to run")
  private int lengthPercent = 100;

  @Option(name = "--seed-offset", description = "Added to the fixed seeds, for other samples")
  private long seedOffset = PolicyComparison.FIXED_SEEDS;

  /** Runs the comparison; returns 1 where a target is missed. */
  @Override
  public Integer call() throws IOException {
    PolicyComparison runs = PolicyComparison.run(lengthPercent, seedOffset);
    List<TargetResult> targets = PolicyTargets.check(runs);
    PolicyReport report = new PolicyReport(runs, targets);
    System.out.print(report.text());
    if (jsonFile != null) {
      report.writeJson(Path.of(jsonFile));
    }
    return targets.stream().allMatch(TargetResult::passes) ? EXIT_OK : EXIT_FAILED;
  }
}
