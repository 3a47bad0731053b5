package io.magnoliaroute.bench.policy;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

/** Runs the policy benchmark: all scheduling policies on simulated engines in virtual time. */
@Command(name = "policy", description = "Compares scheduling policies under a virtual clock")
public final class PolicyCommand implements Callable<Integer> {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;

  @Option(name = "--json", description = "Output file for the measures and targets as JSON")
  private String jsonFile;

  @Option(
      name = "--length-percent",
      description = "Simulated duration in percent of the full length")
  private int lengthPercent = 100;

  @Option(
      name = "--seed-offset",
      description = "Offset added to the fixed seeds, for other samples")
  private long seedOffset = PolicyComparison.NO_SEED_OFFSET;

  /** Runs the benchmark and returns the exit code, 1 if a target is missed. */
  @Override
  public Integer call() throws IOException {
    PolicyComparison comparison = PolicyComparison.run(lengthPercent, seedOffset);
    List<TargetResult> targets = PolicyTargets.evaluate(comparison);
    PolicyReport report = new PolicyReport(comparison, targets);
    System.out.print(report.text());
    if (jsonFile != null) {
      report.writeJson(Path.of(jsonFile));
    }
    return targets.stream().allMatch(TargetResult::isMet) ? EXIT_OK : EXIT_FAILED;
  }
}
