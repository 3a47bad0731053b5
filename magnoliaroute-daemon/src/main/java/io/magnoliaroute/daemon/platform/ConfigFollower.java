package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.config.BranchEntry;
import io.magnoliaroute.core.config.ConfigCodec;
import io.magnoliaroute.core.config.ConfigExchange;
import io.magnoliaroute.core.config.ConfigFormatException;
import io.magnoliaroute.core.config.ConfigPull;
import io.magnoliaroute.core.config.ConfigPush;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigSnapshotter;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.config.ConfigVerdict;
import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.SettingsTree;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.SettingsBoard;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/** Follows the {@code config} stream, publishes to it, and exchanges settings with peers. */
public final class ConfigFollower {

  /** The stream of settings. */
  public static final String STREAM = "config";

  // Changes must be in force everywhere within 8 s; two missed polls leave room for a peer's push.
  private static final long POLL_MS = 1_000;
  private static final int MAX_PUSH_BYTES = 1024 * 1024;

  private final LogPort log;
  private final SettingsBoard board;
  private final DaemonMetrics metrics;
  private final ReentrantLock lock = new ReentrantLock();
  private final ConfigState state = new ConfigState();
  private final Map<String, Promise<ConfigVerdict>> waiting = new HashMap<>();
  private final StreamTail tail;
  private boolean tipReached;

  /** Makes a follower; {@link #start} begins to read. */
  public ConfigFollower(LogPort log, SettingsBoard board, DaemonMetrics metrics) {
    this.log = log;
    this.board = board;
    this.metrics = metrics;
    this.tail = new StreamTail(log, STREAM, new Records());
  }

  /** Reads to the end once, then polls; the future fails when the log does not answer. */
  public Future<Void> start(Vertx vertx) {
    vertx.setPeriodic(POLL_MS, timer -> tail.readToEnd().onFailure(this::countFailure));
    return tail.readToEnd();
  }

  /** Returns whether settings were read from the log or taken from a peer. */
  public boolean hasSettings() {
    return withState(held -> tipReached || held.version() > ConfigState.ABSENT_VERSION);
  }

  /** Returns the version that probes carry. */
  public long version() {
    return withState(ConfigState::version);
  }

  /** Returns the version of the team's branch. */
  public long versionOf(TeamId team) {
    return withState(
        held -> held.branch(BranchName.of(team)).map(BranchEntry::version).orElse(-1L));
  }

  /** Returns the branch with its history. */
  public Optional<BranchEntry> branch(BranchName name) {
    return withState(held -> held.branch(name));
  }

  /** Appends a change and completes with the verdict of the log order. */
  public Future<ConfigVerdict> publish(ConfigRecord.Published change) {
    Promise<ConfigVerdict> verdict = Promise.promise();
    withState(held -> waiting.put(change.recordId(), verdict));
    return Future.fromCompletionStage(log.append(STREAM, List.of(ConfigCodec.encode(change))))
        .compose(tail::readThrough)
        .onFailure(failure -> withState(held -> waiting.remove(change.recordId())))
        .compose(read -> verdict.future());
  }

  /** Appends the snapshots that this VM is to write now, so that no branch outlives the log. */
  public void carryForward(ConfigSnapshotter planner, Collection<VmId> live, long nowMs) {
    List<Bytes> due =
        withState(
            held -> planner.poll(held, live, nowMs).stream().map(ConfigCodec::encode).toList());
    if (!due.isEmpty()) {
      Future.fromCompletionStage(log.append(STREAM, due)).onFailure(this::countFailure);
    }
  }

  /** Returns the summary to send to a peer that announced the version, if this VM is behind. */
  public Optional<Bytes> pullIfBehind(long peerVersion) {
    return withState(held -> ConfigExchange.pullIfBehind(held, peerVersion))
        .map(ConfigCodec::encodePull);
  }

  /** Answers a peer's pull. */
  public Bytes answer(Bytes summary) throws ConfigFormatException {
    ConfigPull pull = ConfigCodec.decodePull(summary);
    return ConfigCodec.encodePush(
        withState(held -> ConfigExchange.pushFor(held, pull, MAX_PUSH_BYTES)));
  }

  /** Takes a peer's branches; returns the next pull where the peer has more. */
  public Optional<Bytes> take(Bytes branches) throws ConfigFormatException {
    ConfigPush push = ConfigCodec.decodePush(branches);
    withState(held -> held.applyPush(push));
    putInForce();
    return ConfigExchange.nextPull(push).map(ConfigCodec::encodePull);
  }

  private void putInForce() {
    SettingsTree[] tree = new SettingsTree[1];
    long version =
        withState(
            held -> {
              tree[0] = held.effectiveSettings();
              return held.version();
            });
    board.put(tree[0], version);
  }

  private <R> R withState(Function<ConfigState, R> function) {
    lock.lock();
    try {
      return function.apply(state);
    } finally {
      lock.unlock();
    }
  }

  private void countFailure(Throwable failure) {
    metrics.count("config_read_failures", "kind", LogFailures.kindOf(failure).name());
  }

  private final class Records implements StreamTail.Reader {

    @Override
    public void gap(long firstRetainedOffset) {
      withState(
          held -> {
            held.startReadingFrom(firstRetainedOffset);
            return null;
          });
    }

    @Override
    public void entries(List<LogEntry> entries) {
      for (LogEntry entry : entries) {
        apply(entry);
      }
      putInForce();
    }

    @Override
    public void tip() {
      boolean changed =
          withState(
              held -> {
                tipReached = true;
                return !held.markCaughtUp().isEmpty();
              });
      if (changed) {
        putInForce();
      }
    }

    private void apply(LogEntry entry) {
      try {
        ConfigRecord decoded = ConfigCodec.decode(entry.payload());
        Promise<ConfigVerdict> promise = withState(held -> waiting.remove(decoded.recordId()));
        ConfigVerdict verdict = withState(held -> held.apply(entry.offset(), decoded));
        if (promise != null) {
          promise.tryComplete(verdict);
        }
      } catch (ConfigFormatException e) {
        metrics.count("config_malformed_records");
      }
    }
  }
}
