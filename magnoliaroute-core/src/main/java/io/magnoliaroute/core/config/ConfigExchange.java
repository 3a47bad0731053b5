package io.magnoliaroute.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** What a VM asks of a peer and answers, so that settings spread without the log. */
public final class ConfigExchange {

  private ConfigExchange() {}

  /** Returns what to ask of a peer that announced a version, if this VM is behind it. */
  public static Optional<ConfigPull> pullIfBehind(ConfigState state, long peerVersion) {
    return peerVersion > state.version()
        ? Optional.of(new ConfigPull(state.version()))
        : Optional.empty();
  }

  /**
   * Returns the answer to a pull, oldest version first.
   *
   * @param maxBytes the bound on the size of the entries; at least one entry is sent
   */
  public static ConfigPush answer(ConfigState state, ConfigPull pull, int maxBytes) {
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

  /** Returns the next pull after a push that had more, once the push was taken. */
  public static Optional<ConfigPull> next(ConfigPush push) {
    return push.more() && push.throughVersion() > push.newerThanVersion()
        ? Optional.of(new ConfigPull(push.throughVersion()))
        : Optional.empty();
  }
}
