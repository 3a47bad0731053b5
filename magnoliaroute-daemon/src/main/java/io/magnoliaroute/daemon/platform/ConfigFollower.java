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

/**
 * Client of the {@code config} stream: applies its records to the settings of this VM, publishes
 * changes, and exchanges branches with peers.
 */
public final class ConfigFollower {

  /** The name of the log stream that carries the settings. */
  public static final String STREAM = "config";

  // Changes must take effect on every VM within 8 s; two missed polls leave time for a peer's push.
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

  /** Creates a client that reads nothing before {@link #start}. */
  public ConfigFollower(LogPort log, SettingsBoard board, DaemonMetrics metrics) {
    this.log = log;
    this.board = board;
    this.metrics = metrics;
    this.tail = new StreamTail(log, STREAM, new Records());
  }

  /**
   * Starts polling and reads to the end of the stream; the future fails if that first read fails.
   */
  public Future<Void> start(Vertx vertx) {
    vertx.setPeriodic(POLL_MS, timer -> tail.readToEnd().onFailure(this::countFailure));
    return tail.readToEnd();
  }

  /** Returns whether settings were read from the log or received from a peer. */
  public boolean hasSettings() {
    return withState(
        lockedState -> tipReached || lockedState.version() > ConfigState.ABSENT_VERSION);
  }

  /** Returns the settings version, which membership probes announce to peers. */
  public long version() {
    return withState(ConfigState::version);
  }

  /** Returns the version of the team's branch, or -1 if there is none. */
  public long versionOf(TeamId team) {
    return withState(
        lockedState ->
            lockedState.branch(BranchName.of(team)).map(BranchEntry::version).orElse(-1L));
  }

  /** Returns the branch with its history, or empty if it is not known. */
  public Optional<BranchEntry> branch(BranchName name) {
    return withState(lockedState -> lockedState.branch(name));
  }

  /** Appends a change; completes with the verdict once the record was read back in log order. */
  public Future<ConfigVerdict> publish(ConfigRecord.Published change) {
    Promise<ConfigVerdict> verdict = Promise.promise();
    withState(lockedState -> waiting.put(change.recordId(), verdict));
    return Future.fromCompletionStage(log.append(STREAM, List.of(ConfigCodec.encode(change))))
        .compose(tail::readThrough)
        .onFailure(failure -> withState(lockedState -> waiting.remove(change.recordId())))
        .compose(ignored -> verdict.future());
  }

  /** Appends the snapshots that are due on this VM, so that no branch expires from the log. */
  public void carryForward(ConfigSnapshotter snapshotter, Collection<VmId> live, long nowMs) {
    List<Bytes> dueSnapshots =
        withState(
            lockedState ->
                snapshotter.poll(lockedState, live, nowMs).stream()
                    .map(ConfigCodec::encode)
                    .toList());
    if (!dueSnapshots.isEmpty()) {
      Future.fromCompletionStage(log.append(STREAM, dueSnapshots)).onFailure(this::countFailure);
    }
  }

  /** Returns the pull to send to a peer that announced the version, if this VM is behind it. */
  public Optional<Bytes> pullIfBehind(long peerVersion) {
    return withState(lockedState -> ConfigExchange.pullIfBehind(lockedState, peerVersion))
        .map(ConfigCodec::encodePull);
  }

  /** Returns the push to send in response to a peer's pull; its size is limited. */
  public Bytes answer(Bytes encodedPull) throws ConfigFormatException {
    ConfigPull pull = ConfigCodec.decodePull(encodedPull);
    return ConfigCodec.encodePush(
        withState(lockedState -> ConfigExchange.pushFor(lockedState, pull, MAX_PUSH_BYTES)));
  }

  /** Applies a peer's push; returns the next pull if the peer has more branches. */
  public Optional<Bytes> take(Bytes encodedPush) throws ConfigFormatException {
    ConfigPush push = ConfigCodec.decodePush(encodedPush);
    withState(lockedState -> lockedState.applyPush(push));
    putInForce();
    return ConfigExchange.nextPull(push).map(ConfigCodec::encodePull);
  }

  private void putInForce() {
    SettingsTree[] tree = new SettingsTree[1];
    long version =
        withState(
            lockedState -> {
              tree[0] = lockedState.effectiveSettings();
              return lockedState.version();
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
          lockedState -> {
            lockedState.startReadingFrom(firstRetainedOffset);
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
              lockedState -> {
                tipReached = true;
                return !lockedState.markCaughtUp().isEmpty();
              });
      if (changed) {
        putInForce();
      }
    }

    private void apply(LogEntry entry) {
      try {
        ConfigRecord record = ConfigCodec.decode(entry.payload());
        Promise<ConfigVerdict> promise =
            withState(lockedState -> waiting.remove(record.recordId()));
        ConfigVerdict verdict = withState(lockedState -> lockedState.apply(entry.offset(), record));
        if (promise != null) {
          promise.tryComplete(verdict);
        }
      } catch (ConfigFormatException e) {
        metrics.count("config_malformed_records");
      }
    }
  }
}
