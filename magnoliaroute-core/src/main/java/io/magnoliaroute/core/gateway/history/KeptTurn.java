package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A turn that was answered completely.
 *
 * @param turnId the request id of the turn
 * @param workspace the workspace of the turn; empty if there are no workspaces
 * @param ancestors the request ids of the turns that it continues, the oldest first; the last one
 *     is its predecessor
 * @param sharedPart the key of the shared part that the input begins with; empty if there is none
 * @param input the input of the turn, without the shared part
 * @param output the data of each event, each followed by a line feed
 * @param endedAtMs Unix time of the end of the response, or of the last renewal of the record
 * @param retentionMs how long the turn is kept
 * @param servedBy the VM that served the turn, which probably has its ancestors in memory
 */
public record KeptTurn(
    String turnId,
    Optional<String> workspace,
    List<String> ancestors,
    Optional<String> sharedPart,
    Bytes input,
    Bytes output,
    long endedAtMs,
    long retentionMs,
    String servedBy)
    implements HistoryRecord {

  /**
   * Periods for which a record is kept. A turn is kept with its chain, so an ancestor has to
   * outlive its youngest descendant. With two periods, an ancestor that ended within the last
   * period needs no renewal.
   */
  static final int RETENTION_PERIODS = 2;

  private static final int TURN_ID = 1;
  private static final int WORKSPACE = 2;
  private static final int ANCESTORS = 3;
  private static final int SHARED_PART = 4;
  private static final int INPUT = 5;
  private static final int OUTPUT = 6;
  private static final int ENDED_AT = 7;
  private static final int RETENTION = 8;
  private static final int SERVED_BY = 9;

  /** Objects, references and the key of a record in memory, without its content. */
  private static final int OVERHEAD_BYTES = 500;

  private static final int ANCESTOR_BYTES = 100;

  /** Makes a defensive copy of the list. */
  public KeptTurn {
    ancestors = List.copyOf(ancestors);
  }

  @Override
  public String key() {
    return HistoryKeys.ofTurn(workspace, turnId);
  }

  /** Returns the keys of the ancestors, the oldest first. */
  public List<String> ancestorKeys() {
    return ancestors.stream().map(id -> HistoryKeys.ofTurn(workspace, id)).toList();
  }

  /** Returns the ancestors of a turn that continues this one. */
  public List<String> withAncestors() {
    List<String> all = new ArrayList<>(ancestors);
    all.add(turnId);
    return all;
  }

  /**
   * Returns whether the record has to be renewed so that it outlives a descendant that ends now.
   */
  public boolean needsRenewal(long nowMs) {
    return nowMs - endedAtMs > retentionMs;
  }

  /** Returns the record as renewed now. */
  public KeptTurn renewed(long nowMs) {
    return new KeptTurn(
        turnId, workspace, ancestors, sharedPart, input, output, nowMs, retentionMs, servedBy);
  }

  @Override
  public long keptUntilMs() {
    return endedAtMs + RETENTION_PERIODS * retentionMs;
  }

  @Override
  public int sizeBytes() {
    return input.sizeBytes()
        + output.sizeBytes()
        + OVERHEAD_BYTES
        + ancestors.size() * ANCESTOR_BYTES;
  }

  @Override
  public Bytes encode() {
    FieldWriter writer = new FieldWriter().put(TURN_ID, turnId);
    workspace.ifPresent(name -> writer.put(WORKSPACE, name));
    writer.putList(ANCESTORS, ancestors.stream().map(Bytes::ofUtf8).toList());
    sharedPart.ifPresent(key -> writer.put(SHARED_PART, key));
    return writer
        .put(INPUT, input)
        .put(OUTPUT, output)
        .put(ENDED_AT, endedAtMs)
        .put(RETENTION, retentionMs)
        .put(SERVED_BY, servedBy)
        .toBytes();
  }

  static KeptTurn decode(String key, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("turn '" + key + "'", value);
    KeptTurn turn =
        new KeptTurn(
            reader.string(TURN_ID, "turn id"),
            reader.optionalString(WORKSPACE, "workspace"),
            reader.bytesList(ANCESTORS, "ancestors").stream().map(Bytes::toUtf8).toList(),
            reader.optionalString(SHARED_PART, "shared part"),
            reader.bytes(INPUT, "input"),
            reader.bytes(OUTPUT, "output"),
            reader.nonNegativeLong(ENDED_AT, "end time"),
            reader.nonNegativeLong(RETENTION, "retention"),
            reader.string(SERVED_BY, "VM"));
    if (!turn.key().equals(key)) {
      throw reader.invalid(TURN_ID, "turn id", "does not match the key '" + key + "'");
    }
    return turn;
  }
}
