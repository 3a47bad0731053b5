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
import io.magnoliaroute.daemon.settings.ActiveSettings;
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
public final class ConfigStreamClient {

  /** The name of the log stream that carries the settings. */
  public static final String STREAM = "config";

  // Changes must take effect on every VM within 8 s; two missed polls leave time for a peer's push.
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final int MAX_PUSH_BYTES = 1024 * 1024;

  private final LogPort log;
  private final ActiveSettings activeSettings;
  private final DaemonMetrics metrics;
  private final ReentrantLock lock = new ReentrantLock();
  private final ConfigState state = new ConfigState();
  private final Map<String, Promise<ConfigVerdict>> pendingPublishes = new HashMap<>();
  private final StreamReader reader;
  private boolean endReached;

  /** Creates a client that reads nothing before {@link #start}. */
  public ConfigStreamClient(LogPort log, ActiveSettings activeSettings, DaemonMetrics metrics) {
    this.log = log;
    this.activeSettings = activeSettings;
    this.metrics = metrics;
    this.reader = new StreamReader(log, STREAM, new RecordListener());
  }

  /**
   * Starts polling and reads to the end of the stream; the future fails if that first read fails.
   */
  public Future<Void> start(Vertx vertx) {
    vertx.setPeriodic(POLL_INTERVAL_MS, timer -> reader.readToEnd().onFailure(this::countFailure));
    return reader.readToEnd();
  }

  /** Returns whether settings were read from the log or received from a peer. */
  public boolean hasSettings() {
    return withLockedState(
        lockedState -> endReached || lockedState.version() > ConfigState.ABSENT_VERSION);
  }

  /** Returns the settings version, which membership probes announce to peers. */
  public long version() {
    return withLockedState(ConfigState::version);
  }

  /** Returns the version of the team's branch, or -1 if there is none. */
  public long versionOf(TeamId team) {
    return withLockedState(
        lockedState ->
            lockedState.branch(BranchName.of(team)).map(BranchEntry::version).orElse(-1L));
  }

  /** Returns the branch with its history, or empty if it is not known. */
  public Optional<BranchEntry> branch(BranchName name) {
    return withLockedState(lockedState -> lockedState.branch(name));
  }

  /** Appends a change; completes with the verdict once the record was read back in log order. */
  public Future<ConfigVerdict> publish(ConfigRecord.Published change) {
    Promise<ConfigVerdict> verdict = Promise.promise();
    withLockedState(lockedState -> pendingPublishes.put(change.recordId(), verdict));
    return Future.fromCompletionStage(log.append(STREAM, List.of(ConfigCodec.encode(change))))
        .compose(reader::readThrough)
        .onFailure(
            failure -> withLockedState(lockedState -> pendingPublishes.remove(change.recordId())))
        .compose(ignored -> verdict.future());
  }

  /** Appends the snapshots that are due on this VM, so that no branch expires from the log. */
  public void appendDueSnapshots(ConfigSnapshotter snapshotter, Collection<VmId> live, long nowMs) {
    List<Bytes> dueSnapshots =
        withLockedState(
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
    return withLockedState(lockedState -> ConfigExchange.pullIfBehind(lockedState, peerVersion))
        .map(ConfigCodec::encodePull);
  }

  /** Returns the push to send in response to a peer's pull; its size is limited. */
  public Bytes respondToPull(Bytes encodedPull) throws ConfigFormatException {
    ConfigPull pull = ConfigCodec.decodePull(encodedPull);
    return ConfigCodec.encodePush(
        withLockedState(lockedState -> ConfigExchange.pushFor(lockedState, pull, MAX_PUSH_BYTES)));
  }

  /** Applies a peer's push; returns the next pull if the peer has more branches. */
  public Optional<Bytes> applyPush(Bytes encodedPush) throws ConfigFormatException {
    ConfigPush push = ConfigCodec.decodePush(encodedPush);
    withLockedState(lockedState -> lockedState.applyPush(push));
    activateSettings();
    return ConfigExchange.nextPull(push).map(ConfigCodec::encodePull);
  }

  private void activateSettings() {
    SettingsTree[] tree = new SettingsTree[1];
    long version =
        withLockedState(
            lockedState -> {
              tree[0] = lockedState.effectiveSettings();
              return lockedState.version();
            });
    activeSettings.activate(tree[0], version);
  }

  private <R> R withLockedState(Function<ConfigState, R> function) {
    lock.lock();
    try {
      return function.apply(state);
    } finally {
      lock.unlock();
    }
  }

  private void countFailure(Throwable failure) {
    metrics.increment("config_read_failures", "kind", LogFailures.kindOf(failure).name());
  }

  private final class RecordListener implements StreamReader.Listener {

    @Override
    public void onGap(long firstRetainedOffset) {
      withLockedState(
          lockedState -> {
            lockedState.startReadingFrom(firstRetainedOffset);
            return null;
          });
    }

    @Override
    public void onEntries(List<LogEntry> entries) {
      for (LogEntry entry : entries) {
        apply(entry);
      }
      activateSettings();
    }

    @Override
    public void onEndReached() {
      boolean changed =
          withLockedState(
              lockedState -> {
                endReached = true;
                return !lockedState.markCaughtUp().isEmpty();
              });
      if (changed) {
        activateSettings();
      }
    }

    private void apply(LogEntry entry) {
      try {
        ConfigRecord record = ConfigCodec.decode(entry.payload());
        Promise<ConfigVerdict> promise =
            withLockedState(lockedState -> pendingPublishes.remove(record.recordId()));
        ConfigVerdict verdict =
            withLockedState(lockedState -> lockedState.apply(entry.offset(), record));
        if (promise != null) {
          promise.tryComplete(verdict);
        }
      } catch (ConfigFormatException e) {
        metrics.increment("config_malformed_records");
      }
    }
  }
}
