package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.program.Turn;
import io.magnoliaroute.core.program.UnloggedTurn;
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
 * Bounded in-memory store of unlogged turns that peers replicated to this VM. When this VM becomes
 * the owner of a partition, its turns are transferred to the partition host, which drops those that
 * are already in the log.
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
  private final int partitionCount;
  private final long maxBytes;
  private IntConsumer onTurnStored = partition -> {};
  private long storedBytes;

  /** Creates an empty store that holds at most {@code maxBytes} of turns. */
  public MirroredTurns(int partitionCount, long maxBytes) {
    this.partitionCount = partitionCount;
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
        fields.nonNegativeInt(NUMBER, "number"),
        fields.nonNegativeInt(ATTEMPT, "attempt"),
        fields.bytes(REQUEST, "request"),
        fields.bytes(ANSWER, "answer"),
        fields.nonNegativeInt(PROMPT_TOKENS, "prompt_tokens"),
        fields.nonNegativeInt(ANSWER_TOKENS, "answer_tokens"));
  }

  /** Sets the listener that receives the partition of each stored turn. */
  public void onTurnStored(IntConsumer listener) {
    onTurnStored = listener;
  }

  /**
   * Stores a turn unless it is too large, its partition is out of range or the store is full.
   *
   * @return whether the turn was stored
   */
  boolean add(int partition, ProgramId program, Turn turn) {
    boolean fits = turn.sizeBytes() <= MAX_TURN_BYTES;
    if (!fits
        || partition < 0
        || partition >= partitionCount
        || !tryStore(partition, program, turn)) {
      return false;
    }
    onTurnStored.accept(partition);
    return true;
  }

  private boolean tryStore(int partition, ProgramId program, Turn turn) {
    lock.lock();
    try {
      if (storedBytes + turn.sizeBytes() > maxBytes) {
        return false;
      }
      Turn previous =
          turns
              .computeIfAbsent(new Key(partition, program), key -> new TreeMap<>())
              .put(turn.number(), turn);
      storedBytes += turn.sizeBytes() - (previous == null ? 0 : previous.sizeBytes());
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Transfers the turns of a partition that this VM has just acquired to the partition's host. */
  public void transferTo(PartitionHost host) {
    for (UnloggedTurn turn : removeAll(host.partition())) {
      host.addMirroredTurn(turn);
    }
  }

  private List<UnloggedTurn> removeAll(int partition) {
    lock.lock();
    try {
      List<UnloggedTurn> removed = new ArrayList<>();
      turns.forEach(
          (key, programTurns) -> {
            if (key.partition() == partition) {
              programTurns
                  .values()
                  .forEach(turn -> removed.add(new UnloggedTurn(partition, key.program(), turn)));
            }
          });
      turns.keySet().removeIf(key -> key.partition() == partition);
      removed.forEach(turn -> storedBytes -= turn.turn().sizeBytes());
      removed.sort(Comparator.comparingInt(turn -> turn.turn().number()));
      return removed;
    } finally {
      lock.unlock();
    }
  }
}
