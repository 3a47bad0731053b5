package io.magnoliaroute.wire;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Maps message types to their numbers on the wire. Numbers of removed types are not reused. */
enum MessageType {
  HELLO(1, PeerMessage.Hello.class),
  CHALLENGE(2, PeerMessage.Challenge.class),
  PROOF(3, PeerMessage.Proof.class),
  MEMBERSHIP(4, PeerMessage.Membership.class),
  CONFIG_PULL(5, PeerMessage.ConfigPull.class),
  CONFIG_PUSH(6, PeerMessage.ConfigPush.class),
  SLOT_REQUEST(10, PeerMessage.SlotRequest.class),
  SLOT_GRANT(11, PeerMessage.SlotGrant.class),
  SLOT_REFUSAL(12, PeerMessage.SlotRefusal.class),
  SLOT_PROGRESS(13, PeerMessage.SlotProgress.class),
  SLOT_RELEASE(14, PeerMessage.SlotRelease.class),
  SLOT_CANCEL(15, PeerMessage.SlotCancel.class),
  SLOT_PREEMPT(16, PeerMessage.SlotPreempt.class),
  SLOT_REPORT(17, PeerMessage.SlotReport.class),
  PROGRAM_OPEN(20, PeerMessage.ProgramOpen.class),
  PROGRAM_HEAD(21, PeerMessage.ProgramHead.class),
  PROGRAM_CHUNK(22, PeerMessage.ProgramChunk.class),
  PROGRAM_CLOSE(23, PeerMessage.ProgramClose.class),
  PROGRAM_CANCEL(24, PeerMessage.ProgramCancel.class),
  PROGRAM_CREDIT(25, PeerMessage.ProgramCredit.class),
  CACHE_RELEASE(30, PeerMessage.CacheRelease.class),
  HISTORY_MIRROR(31, PeerMessage.HistoryMirror.class),
  ALLOWANCE_ASK(40, PeerMessage.AllowanceRequest.class),
  ALLOWANCE_REPLY(41, PeerMessage.AllowanceReply.class),
  ALLOWANCE_SETTLE(42, PeerMessage.AllowanceSettlement.class),
  REQUEST_CRASHED(43, PeerMessage.RequestCrashed.class),
  BELIEFS_ASK(44, PeerMessage.RoutingStateRequest.class),
  BELIEFS_REPLY(45, PeerMessage.RoutingStateReply.class),
  ALLOWANCE_NOTE(46, PeerMessage.UsageNote.class),
  PROGRAM_EXHAUSTED(47, PeerMessage.BudgetExhausted.class),
  ENDPOINT_LOST(48, PeerMessage.EndpointUnreachable.class),
  ENDPOINT_GONE(49, PeerMessage.EndpointDeparture.class),
  OUTCOMES_TOLD(50, PeerMessage.OutcomeReport.class),
  OUTCOME_SUMMARY(51, PeerMessage.OutcomeSummary.class),
  PERMIT_REQUEST(52, PeerMessage.PermitRequest.class),
  PERMIT_REPLY(53, PeerMessage.PermitReply.class),
  REQUEST_LIMIT(54, PeerMessage.RequestLimitNote.class),
  TUNNEL_END_REQUEST(55, PeerMessage.TunnelEndRequest.class),
  TUNNEL_END_REPLY(56, PeerMessage.TunnelEndReply.class),
  WORKSPACE_PERMIT_REQUEST(57, PeerMessage.WorkspacePermitRequest.class),
  WORKSPACE_PERMIT_REPLY(58, PeerMessage.WorkspacePermitReply.class),
  WORKSPACE_PERMIT_RETURN(59, PeerMessage.WorkspacePermitReturn.class);

  private static final Map<Integer, MessageType> BY_NUMBER =
      Stream.of(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));
  private static final Map<Class<?>, MessageType> BY_CLASS =
      Stream.of(values()).collect(Collectors.toMap(type -> type.recordClass, Function.identity()));

  private final int number;
  private final Class<? extends PeerMessage> recordClass;

  MessageType(int number, Class<? extends PeerMessage> recordClass) {
    this.number = number;
    this.recordClass = recordClass;
  }

  int number() {
    return number;
  }

  Class<? extends PeerMessage> recordClass() {
    return recordClass;
  }

  static MessageType of(PeerMessage message) {
    return BY_CLASS.get(message.getClass());
  }

  static MessageType ofNumber(int number) throws WireException {
    MessageType type = BY_NUMBER.get(number);
    if (type == null) {
      throw new WireException(WireException.Kind.UNKNOWN_TYPE, "message type " + number);
    }
    return type;
  }
}
