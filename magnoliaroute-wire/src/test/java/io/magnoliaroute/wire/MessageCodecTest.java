package io.magnoliaroute.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.magnoliaroute.core.membership.Gossip;
import io.magnoliaroute.core.membership.MemberDelta;
import io.magnoliaroute.core.membership.MemberInfo;
import io.magnoliaroute.core.membership.MemberState;
import io.magnoliaroute.core.membership.MembershipMessage;
import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the round trip of each message type and the handling of damaged frames. */
final class MessageCodecTest {

  private static final CallId CALL = new CallId(new ProgramId("p1"), 3, 7);
  private static final Bytes BYTES = Bytes.ofUtf8("content");
  private static final VmId VM = new VmId("vm-1");

  private final MessageCodec codec = new MessageCodec();

  static Stream<PeerMessage> messages() {
    return Stream.concat(programMessages(), gatewayMessages());
  }

  private static Stream<PeerMessage> gatewayMessages() {
    return Stream.of(
        new PeerMessage.AllowanceRequest(1, "p1", 300, 100, "RECORDED"),
        new PeerMessage.AllowanceReply(
            1,
            "p1",
            100,
            "EXHAUSTED",
            160,
            "vm-2/7",
            List.of(new PeerMessage.UsageNote("p1", "vm-1/3", 160, 60)),
            true,
            true),
        new PeerMessage.AllowanceSettlement("p1", 100, 60),
        new PeerMessage.UsageNote("p1", "vm-2/7", 160, 20),
        new PeerMessage.BudgetExhausted("p1"),
        new PeerMessage.RequestCrashed("00ff", "e1"),
        new PeerMessage.EndpointUnreachable("e1"),
        new PeerMessage.EndpointDeparture("e1", 5, 7),
        new PeerMessage.OutcomeReport(
            "vm-1", List.of(new PeerMessage.OutcomeEntry("e1", 1.5, 0.5))),
        new PeerMessage.OutcomeSummary(List.of(new PeerMessage.OutcomeEntry("e1", 1.5, 0.5))),
        new PeerMessage.PermitRequest(
            1, new PeerMessage.RequestLimitNote("e1", 5, true, 8.25), 200),
        new PeerMessage.PermitReply(1, true, 20),
        new PeerMessage.RequestLimitNote("e1", 5, false, 0),
        new PeerMessage.WorkspacePermitRequest(1, "vm-1", "w1", 7, 8.25, 20, true),
        new PeerMessage.WorkspacePermitReply(1, "GRANTED", 20, "vm-2"),
        new PeerMessage.WorkspacePermitReturn("w1", 30),
        new PeerMessage.TunnelEndRequest(1, "10.0.0.1:4711"),
        new PeerMessage.TunnelEndReply(1, true),
        new PeerMessage.RoutingStateRequest(1, 7),
        new PeerMessage.RoutingStateReply(
            1,
            BYTES,
            42L,
            List.of(
                new PeerMessage.EndpointInfo("e1", "s", "127.0.0.1", 7, "dc", 8, true, 1, 2, "v1")),
            List.of(new PeerMessage.EndpointDeparture("e2", 5, 7)),
            List.of(new PeerMessage.RequestLimitNote("e1", 5, true, 8.25)),
            List.of(new PeerMessage.VmInfo("vm-1", "127.0.0.1", 7, "dc", 2, 0.25)),
            List.of(new PeerMessage.CrashingRequest("f1", List.of("e1"), 5))));
  }

  private static Stream<PeerMessage> programMessages() {
    MemberDelta delta =
        new MemberDelta(
            new MemberInfo(
                VM,
                new DataCentreId("natal"),
                new RegionId("north"),
                new PeerAddress("127.0.0.1", 7)),
            4,
            MemberState.SUSPECT);
    Gossip gossip = new Gossip(delta, 9, -5, 7, List.of(delta));
    WaitingCall waiting =
        WaitingCall.builder(CALL, new TeamId("team"), new DataCentreId("natal"))
            .prompt(10, Map.of(new EndpointId("e1"), 5))
            .build();
    SlotGrant grant = new SlotGrant(CALL, new EndpointId("e1"), 5, 6, 7, true, false, true);
    return Stream.of(
        new PeerMessage.Hello(VM, BYTES),
        new PeerMessage.Challenge(VM, BYTES, BYTES),
        new PeerMessage.Proof(BYTES),
        new PeerMessage.Membership(new MembershipMessage.Ping(1, true, gossip)),
        new PeerMessage.Membership(new MembershipMessage.PingReq(2, VM, gossip)),
        new PeerMessage.Membership(new MembershipMessage.Ack(3, gossip)),
        new PeerMessage.ConfigPull(1, BYTES),
        new PeerMessage.ConfigPush(1, BYTES),
        new PeerMessage.SlotRequest("pool/0", waiting),
        new PeerMessage.SlotGrant("pool/0", grant),
        new PeerMessage.SlotRefusal("pool/0", CALL, "queue_full", 5),
        new PeerMessage.SlotProgress("pool/0", CALL, new CallObservation(5, 1, 2, 3)),
        new PeerMessage.SlotRelease(
            "pool/0", CALL, new CallResult(5, CallEnding.COMPLETED, 1, 2, 3, 4)),
        new PeerMessage.SlotCancel("pool/0", CALL),
        new PeerMessage.SlotPreempt("pool/0", CALL, 5),
        new PeerMessage.SlotReport("pool/0", waiting, grant),
        new PeerMessage.ProgramOpen(
            CALL,
            "turn",
            new TeamId("team"),
            1,
            List.of(new PeerMessage.HeaderField("a", "b")),
            BYTES),
        new PeerMessage.ProgramHead(CALL, 200, List.of(new PeerMessage.HeaderField("a", "b"))),
        new PeerMessage.ProgramChunk(CALL, BYTES),
        new PeerMessage.ProgramClose(CALL),
        new PeerMessage.ProgramCancel(CALL),
        new PeerMessage.ProgramCredit(CALL, 100),
        new PeerMessage.CacheRelease("pool/0", CALL.program()),
        new PeerMessage.HistoryMirror(3, CALL.program(), 4, BYTES));
  }

  /** Guards against fields that are lost in encoding or decoding, for each message type. */
  @ParameterizedTest
  @MethodSource("messages")
  void everyMessageSurvivesRoundTrip(PeerMessage message) throws WireException {
    assertEquals(message, codec.decode(codec.encode(message)));
  }

  /** Guards against new message types that the round-trip test does not cover. */
  @Test
  void everyMessageTypeHasARoundTripTest() {
    assertEquals(MessageType.values().length, messages().map(MessageType::of).distinct().count());
  }

  @Nested
  final class DamagedFrames {

    /** Guards against unchecked exceptions and huge allocations on damaged input. */
    @Test
    void randomDamageIsDecodedOrReportedAsWireException() {
      long seed = 20_261_204;
      System.out.println("MessageCodecTest seed " + seed);
      Random random = new Random(seed);
      List<PeerMessage> all = messages().toList();
      int reported = 0;
      for (int i = 0; i < 20_000; i++) {
        byte[] frame = codec.encode(all.get(random.nextInt(all.size())));
        for (int flips = 0; flips < 3; flips++) {
          frame[random.nextInt(frame.length)] = (byte) random.nextInt();
        }
        try {
          codec.decode(frame);
        } catch (WireException e) {
          reported++;
        }
      }
      assertEquals(true, reported > 1_000, "frames reported as malformed: " + reported);
    }

    /** Guards against an allocation of a declared length that exceeds the frame. */
    @Test
    void declaredLengthBeyondFrameIsRejected() {
      byte[] frame = {3, (byte) 0x81, (byte) 0xa1, 'p', (byte) 0xc6, 0x7f, -1, -1, -1};
      WireException rejection = assertThrows(WireException.class, () -> codec.decode(frame));
      assertEquals(WireException.Kind.MALFORMED_BODY, rejection.kind());
    }

    /** Guards against a message type of a later release that is decoded as a known one. */
    @Test
    void unknownTypeIsRejected() {
      WireException rejection =
          assertThrows(WireException.class, () -> codec.decode(new byte[] {99, (byte) 0x80}));
      assertEquals(WireException.Kind.UNKNOWN_TYPE, rejection.kind());
    }
  }
}
