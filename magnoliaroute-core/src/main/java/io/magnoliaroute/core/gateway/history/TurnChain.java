package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.model.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The records of a chain of turns.
 *
 * @param turns the turns, the oldest first
 * @param parts the shared parts that they refer to
 */
public record TurnChain(List<KeptTurn> turns, List<SharedPart> parts) {

  /** Makes defensive copies of the lists. */
  public TurnChain {
    turns = List.copyOf(turns);
    parts = List.copyOf(parts);
  }

  /**
   * Returns the keys of the records that are missing to assemble the chain of a turn; empty if it
   * is complete.
   *
   * @param newest the turn that the chain ends with
   * @param records returns the record of a key that is at hand
   */
  public static List<String> missingKeys(
      KeptTurn newest, Function<String, Optional<HistoryRecord>> records) {
    List<String> missing = new ArrayList<>();
    for (String key : newest.ancestorKeys()) {
      Optional<HistoryRecord> found = records.apply(key);
      if (found.isEmpty()) {
        missing.add(key);
      } else {
        addMissingPart((KeptTurn) found.get(), records, missing);
      }
    }
    addMissingPart(newest, records, missing);
    return missing;
  }

  private static void addMissingPart(
      KeptTurn turn, Function<String, Optional<HistoryRecord>> records, List<String> missing) {
    if (turn.sharedPart().isPresent()) {
      String key = turn.sharedPart().get();
      if (records.apply(key).isEmpty() && !missing.contains(key)) {
        missing.add(key);
      }
    }
  }

  /** Collects a chain of which no record is missing. */
  public static TurnChain collect(
      KeptTurn newest, Function<String, Optional<HistoryRecord>> records) {
    List<KeptTurn> turns = new ArrayList<>();
    for (String key : newest.ancestorKeys()) {
      turns.add((KeptTurn) records.apply(key).orElseThrow());
    }
    turns.add(newest);
    List<SharedPart> parts = new ArrayList<>();
    for (KeptTurn turn : turns) {
      turn.sharedPart().ifPresent(key -> parts.add((SharedPart) records.apply(key).orElseThrow()));
    }
    return new TurnChain(turns, parts);
  }

  /** Returns the turn that the chain ends with. */
  public KeptTurn newest() {
    return turns.get(turns.size() - 1);
  }

  /** Returns the length of the assembled prompt without the new input. */
  public long sizeBytes() {
    long sizeBytes = 0;
    for (KeptTurn turn : turns) {
      sizeBytes += turn.input().sizeBytes() + turn.output().sizeBytes();
    }
    for (SharedPart part : parts) {
      sizeBytes += part.content().sizeBytes();
    }
    return sizeBytes;
  }

  /**
   * Assembles the body that an endpoint gets: for each turn its input and its output, then the new
   * input.
   */
  public byte[] assemble(byte[] newInput) {
    ByteArrayOutputStream body =
        new ByteArrayOutputStream(Math.toIntExact(sizeBytes() + newInput.length));
    for (KeptTurn turn : turns) {
      turn.sharedPart().ifPresent(key -> body.writeBytes(partContent(key).toArray()));
      body.writeBytes(turn.input().toArray());
      body.writeBytes(turn.output().toArray());
    }
    body.writeBytes(newInput);
    return body.toByteArray();
  }

  private Bytes partContent(String key) {
    return parts.stream()
        .filter(part -> part.key().equals(key))
        .findFirst()
        .orElseThrow()
        .content();
  }
}
