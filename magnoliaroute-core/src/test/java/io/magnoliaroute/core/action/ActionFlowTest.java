package io.magnoliaroute.core.action;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogRecordCodec;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ActionFlowTest {

  private static final ProgramId PROGRAM = new ProgramId("p");
  private static final long LEASE_MS = 500;
  private static final ActionTiming TIMING = new ActionTiming(300, 20, 100, 600, 500);

  private final WriterId writerId = new WriterId(new VmId("vm-0"), 0);
  private final RecordIdGenerator ids = new RecordIdGenerator(writerId);
  private final PartitionReader reader = new PartitionReader("program-0", 16);
  private final PartitionLease lease = new PartitionLease(writerId, reader, LEASE_MS);
  private final ActionFlow flow =
      new ActionFlow(
          new ActionRequest(PROGRAM, "pay", 0, "payments", Bytes.ofUtf8("x"), false, false, 2_000),
          new ServiceCapabilities(false, false),
          TIMING,
          new PartitionOwner(reader, lease, ids));

  @BeforeEach
  void claimAndStart() {
    appendAndApply(lease.nextClaim(ids));
    appendAndApply(
        new ProgramRecord.ProgramStarted(
            ids.next(),
            1,
            PROGRAM,
            new TeamId("team"),
            PriorityClass.NORMAL,
            0,
            0,
            Optional.empty(),
            Optional.empty()));
    readToEnd(0);
  }

  private List<ActionEffect> appendAndApply(ProgramRecord record) {
    ReadRequest request = reader.nextRead();
    Bytes payload = LogRecordCodec.encode(ProgramRecordCodec.toLogRecord(record));
    LogEntry entry = new LogEntry(request.fromOffset(), payload);
    LogPage page = new LogPage(List.of(entry), request.fromOffset() + 1, 0);
    List<ActionEffect> effects = new ArrayList<>();
    for (var applied : reader.accept(request, page, 0).applied()) {
      effects.addAll(flow.onApplied(applied, 10));
    }
    return effects;
  }

  private void readToEnd(long issuedAtMs) {
    ReadRequest request = reader.nextRead();
    reader.accept(request, new LogPage(List.of(), request.fromOffset(), 0), issuedAtMs);
  }

  private static <T extends ActionEffect> T onlyEffect(Class<T> type, List<ActionEffect> effects) {
    List<T> found = effects.stream().filter(type::isInstance).map(type::cast).toList();
    assertEquals(1, found.size(), effects.toString());
    return found.get(0);
  }

  private static boolean containsSend(List<ActionEffect> effects) {
    return effects.stream().anyMatch(ActionEffect.Send.class::isInstance);
  }

  /**
   * Guards against an owner that sends an action after a pause, although its lease has expired and
   * another owner may have taken over the action.
   */
  @Test
  void actionIsNotSentUntilLeaseIsRenewed() {
    appendAndApply(onlyEffect(ActionEffect.Append.class, flow.start(5)).record());
    assertTrue(!containsSend(flow.beginSend(LEASE_MS)));
    readToEnd(LEASE_MS);
    assertTrue(containsSend(flow.beginSend(LEASE_MS + 1)));
    assertTrue(!containsSend(flow.beginSend(LEASE_MS + 2)));
  }

  /**
   * Guards against a NOT_RUN reply before the abandon record is read back, while the intent record
   * may still be accepted (guarantee G6).
   */
  @Test
  void abandonedActionIsReportedNotRunOnlyAfterAbandonIsReadBack() {
    ProgramRecord intent = onlyEffect(ActionEffect.Append.class, flow.start(5)).record();
    onlyEffect(ActionEffect.CancelAppend.class, flow.tick(1_700));
    ProgramRecord abandon =
        onlyEffect(ActionEffect.Append.class, flow.onAppendCancelled(AbandonResult.MAY_LAND, 1_700))
            .record();
    assertTrue(appendAndApply(intent).isEmpty());
    ActionReply reply = onlyEffect(ActionEffect.Reply.class, appendAndApply(abandon)).reply();
    assertEquals(ActionReply.of(Outcome.NOT_RUN, ActionReason.DEADLINE_BEFORE_SEND), reply);
    assertTrue(flow.isClosed());
  }

  /** Guards against a NOT_RUN reply when the log has returned no verdict before the deadline. */
  @Test
  void replyIsUnknownWithoutVerdict() {
    flow.start(5);
    flow.tick(1_700);
    flow.onAppendCancelled(AbandonResult.MAY_LAND, 1_700);
    ActionReply reply = onlyEffect(ActionEffect.Reply.class, flow.tick(2_000)).reply();
    assertEquals(Outcome.UNKNOWN, reply.outcome());
  }

  /**
   * Guards against a NOT_RUN reply while the log cannot be read, as an earlier request with the
   * same key may have been executed.
   */
  @Test
  void refusalWithoutReadSinceArrivalIsUnknown() {
    flow.start(5);
    flow.tick(1_700);
    assertTrue(flow.onAppendCancelled(AbandonResult.NEVER_APPENDED, 1_700).isEmpty());
    ActionReply reply = onlyEffect(ActionEffect.Reply.class, flow.tick(2_000)).reply();
    assertEquals(ActionReason.KEY_NOT_VERIFIED, reply.reason());
    assertEquals(Outcome.UNKNOWN, reply.outcome());
  }
}
