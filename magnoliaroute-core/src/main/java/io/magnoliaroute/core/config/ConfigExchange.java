package io.magnoliaroute.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The pull and push messages by which VMs exchange settings without the log. */
public final class ConfigExchange {

  private ConfigExchange() {}

  /** Returns the pull to send to a peer that announced a version, or empty if it is not newer. */
  public static Optional<ConfigPull> pullIfBehind(ConfigState state, long peerVersion) {
    return peerVersion > state.version()
        ? Optional.of(new ConfigPull(state.version()))
        : Optional.empty();
  }

  /**
   * Returns the push that responds to a pull, with the oldest version first.
   *
   * @param maxBytes the maximum size of the entries; at least one entry is sent regardless
   */
  public static ConfigPush pushFor(ConfigState state, ConfigPull pull, int maxBytes) {
    List<BranchEntry> newer =
        state.branches().stream()
            .filter(entry -> entry.version() > pull.newerThanVersion())
            .sorted(Comparator.comparingLong(BranchEntry::version))
            .toList();
    List<BranchEntry> sent = new ArrayList<>();
    int sizeBytes = 0;
    for (BranchEntry entry : newer) {
      sizeBytes += entry.sizeBytes();
      if (!sent.isEmpty() && sizeBytes > maxBytes) {
        break;
      }
      sent.add(entry);
    }
    boolean more = sent.size() < newer.size();
    long through = state.version();
    if (more) {
      through = Math.min(through, sent.get(sent.size() - 1).version());
    }
    return new ConfigPush(pull.newerThanVersion(), through, sent, more);
  }

  /** Returns the pull to send after a push was applied, or empty if the sender has no more. */
  public static Optional<ConfigPull> nextPull(ConfigPush push) {
    return push.hasMore() && push.throughVersion() > push.newerThanVersion()
        ? Optional.of(new ConfigPull(push.throughVersion()))
        : Optional.empty();
  }
}
