package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.HeldTurn;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.daemon.program.PartitionHost;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntConsumer;

/**
 * Unlogged turns that peers copied to this VM. They are offered to the partition when this VM takes
 * it, where those that are logged already are dropped.
 */
public final class MirroredTurns {

  private static final int MAX_TURN_BYTES = 16 * 1024 * 1024;
  private static final int NUMBER = 1;
  private static final int ATTEMPT = 2;
  private static final int REQUEST = 3;
  private static final int ANSWER = 4;
  private static final int PROMPT_TOKENS = 5;
  private static final int ANSWER_TOKENS = 6;

  private record Key(int partition, ProgramId program) {}

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<Key, TreeMap<Integer, Turn>> turns = new HashMap<>();
  private final int partitions;
  private final long maxBytes;
  private IntConsumer onKept = partition -> {};
  private long bytes;

  /** Makes a store with a bound on its size. */
  public MirroredTurns(int partitions, long maxBytes) {
    this.partitions = partitions;
    this.maxBytes = maxBytes;
  }

  static Bytes encode(Turn turn) {
    return new FieldWriter()
        .put(NUMBER, turn.number())
        .put(ATTEMPT, turn.attempt())
        .put(REQUEST, turn.request())
        .put(ANSWER, turn.answer())
        .put(PROMPT_TOKENS, turn.promptTokens())
        .put(ANSWER_TOKENS, turn.answerTokens())
        .toBytes();
  }

  static Turn decode(Bytes content) throws MalformedRecordException {
    FieldReader fields = FieldReader.of("turn", content);
    return new Turn(
        fields.count(NUMBER, "number"),
        fields.count(ATTEMPT, "attempt"),
        fields.bytes(REQUEST, "request"),
        fields.bytes(ANSWER, "answer"),
        fields.count(PROMPT_TOKENS, "prompt_tokens"),
        fields.count(ANSWER_TOKENS, "answer_tokens"));
  }

  /** Sets who hears of each partition that a turn was kept for. */
  public void onKept(IntConsumer listener) {
    onKept = listener;
  }

  /** Keeps a turn; returns whether there was room. */
  boolean keep(int partition, ProgramId program, Turn turn) {
    boolean fits = turn.sizeBytes() <= MAX_TURN_BYTES;
    if (!fits || partition < 0 || partition >= partitions || !store(partition, program, turn)) {
      return false;
    }
    onKept.accept(partition);
    return true;
  }

  private boolean store(int partition, ProgramId program, Turn turn) {
    lock.lock();
    try {
      if (bytes + turn.sizeBytes() > maxBytes) {
        return false;
      }
      Turn before =
          turns
              .computeIfAbsent(new Key(partition, program), key -> new TreeMap<>())
              .put(turn.number(), turn);
      bytes += turn.sizeBytes() - (before == null ? 0 : before.sizeBytes());
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Hands the turns of the partition, which this VM has just taken, to its host. */
  public void offer(PartitionHost host) {
    for (HeldTurn turn : take(host.partition())) {
      host.holdMirrored(turn);
    }
  }

  private List<HeldTurn> take(int partition) {
    lock.lock();
    try {
      List<HeldTurn> taken = new ArrayList<>();
      turns.forEach(
          (key, held) -> {
            if (key.partition() == partition) {
              held.values()
                  .forEach(turn -> taken.add(new HeldTurn(partition, key.program(), turn)));
            }
          });
      turns.keySet().removeIf(key -> key.partition() == partition);
      taken.forEach(turn -> bytes -= turn.turn().sizeBytes());
      taken.sort(Comparator.comparingInt(turn -> turn.turn().number()));
      return taken;
    } finally {
      lock.unlock();
    }
  }
}
