package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes budget records as MessagePack: record type, record id, team, period index and
 * period length, followed by the remaining fields of the record type in declaration order.
 */
public final class BudgetCodec {

  private static final int GRANTED = 1;
  private static final int OPENED = 2;
  private static final int RELEASED = 3;
  private static final int RECLAIMED = 4;
  private static final int SNAPSHOT = 5;
  private static final int MAX_SLICES = 1 << 20;

  private BudgetCodec() {}

  /** Encodes a budget record. */
  public static Bytes encode(BudgetRecord budgetRecord) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(typeOf(budgetRecord));
      out.packString(budgetRecord.recordId());
      out.packString(budgetRecord.team().value());
      out.packLong(budgetRecord.period().index());
      out.packLong(budgetRecord.period().lengthMs());
      packFields(out, budgetRecord);
      return Bytes.copyOf(out.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("failed to encode a budget record", e);
    }
  }

  /**
   * Decodes a budget record.
   *
   * @throws BudgetFormatException if the payload is not a valid budget record
   */
  public static BudgetRecord decode(Bytes payload) throws BudgetFormatException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload.toArray())) {
      int type = in.unpackInt();
      String recordId = in.unpackString();
      TeamId team = new TeamId(in.unpackString());
      BudgetPeriod period = new BudgetPeriod(in.unpackLong(), in.unpackLong());
      return switch (type) {
        case GRANTED -> unpackGrant(in, recordId, team, period);
        case OPENED ->
            new BudgetRecord.SliceOpened(
                recordId, team, period, in.unpackString(), in.unpackLong());
        case RELEASED ->
            new BudgetRecord.SliceReleased(
                recordId, team, period, in.unpackString(), in.unpackLong());
        case RECLAIMED ->
            new BudgetRecord.SliceReclaimed(recordId, team, period, in.unpackString());
        case SNAPSHOT -> unpackSnapshot(in, recordId, team, period);
        default -> throw new BudgetFormatException("unknown budget record type: " + type, null);
      };
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new BudgetFormatException("malformed budget record: " + e.getMessage(), e);
    }
  }

  private static int typeOf(BudgetRecord budgetRecord) {
    if (budgetRecord instanceof BudgetRecord.SliceGranted) {
      return GRANTED;
    }
    if (budgetRecord instanceof BudgetRecord.SliceOpened) {
      return OPENED;
    }
    if (budgetRecord instanceof BudgetRecord.SliceReleased) {
      return RELEASED;
    }
    return budgetRecord instanceof BudgetRecord.SliceReclaimed ? RECLAIMED : SNAPSHOT;
  }

  private static void packFields(MessageBufferPacker out, BudgetRecord budgetRecord)
      throws IOException {
    if (budgetRecord instanceof BudgetRecord.SliceGranted grant) {
      out.packString(grant.slice()).packString(grant.vm().value());
      out.packLong(grant.amountUnits()).packLong(grant.openedUnits());
      out.packLong(grant.budgetUnits()).packLong(grant.settingsVersion());
      out.packLong(grant.timeMs());
    } else if (budgetRecord instanceof BudgetRecord.SliceOpened opened) {
      out.packString(opened.slice()).packLong(opened.openedUnits());
    } else if (budgetRecord instanceof BudgetRecord.SliceReleased released) {
      out.packString(released.slice()).packLong(released.spentUnits());
    } else if (budgetRecord instanceof BudgetRecord.SliceReclaimed reclaimed) {
      out.packString(reclaimed.slice());
    } else if (budgetRecord instanceof BudgetRecord.AccountSnapshot snapshot) {
      packSnapshot(out, snapshot);
    }
  }

  private static void packSnapshot(MessageBufferPacker out, BudgetRecord.AccountSnapshot snapshot)
      throws IOException {
    out.packLong(snapshot.asOfOffset()).packLong(snapshot.timeMs());
    out.packLong(snapshot.budgetUnits()).packLong(snapshot.settingsVersion());
    out.packLong(snapshot.releasedSpentUnits());
    out.packArrayHeader(snapshot.slices().size());
    for (SliceState slice : snapshot.slices()) {
      out.packString(slice.slice()).packString(slice.vm().value());
      out.packLong(slice.amountUnits()).packLong(slice.openedUnits());
      out.packString(slice.phase().name());
    }
  }

  private static BudgetRecord unpackGrant(
      MessageUnpacker in, String recordId, TeamId team, BudgetPeriod period) throws IOException {
    String slice = in.unpackString();
    VmId vm = new VmId(in.unpackString());
    return new BudgetRecord.SliceGranted(
        recordId,
        team,
        period,
        slice,
        vm,
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong());
  }

  private static BudgetRecord unpackSnapshot(
      MessageUnpacker in, String recordId, TeamId team, BudgetPeriod period)
      throws IOException, BudgetFormatException {
    long asOfOffset = in.unpackLong();
    long timeMs = in.unpackLong();
    long budgetUnits = in.unpackLong();
    long settingsVersion = in.unpackLong();
    long releasedSpentUnits = in.unpackLong();
    int count = in.unpackArrayHeader();
    if (count > MAX_SLICES) {
      throw new BudgetFormatException(
          "too many slices in account snapshot: " + count + ", limit " + MAX_SLICES, null);
    }
    List<SliceState> slices = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String slice = in.unpackString();
      VmId vm = new VmId(in.unpackString());
      long amountUnits = in.unpackLong();
      long openedUnits = in.unpackLong();
      SlicePhase phase = SlicePhase.valueOf(in.unpackString());
      slices.add(new SliceState(slice, vm, amountUnits, openedUnits, phase));
    }
    return new BudgetRecord.AccountSnapshot(
        recordId,
        team,
        period,
        asOfOffset,
        timeMs,
        budgetUnits,
        settingsVersion,
        releasedSpentUnits,
        slices);
  }
}
