package io.magnoliaroute.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.magnoliaroute.core.model.VmId;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class MembershipCodecTest {

  private static final MemberDelta SENDER =
      new MemberDelta(SimulatedNetwork.info("vm-1", "natal"), Long.MAX_VALUE, MemberState.ALIVE);
  private static final MemberDelta OTHER =
      new MemberDelta(SimulatedNetwork.info("vm-2", "touros"), 7, MemberState.LEAVING);
  private static final Gossip GOSSIP = new Gossip(SENDER, 41, -1, Long.MIN_VALUE, List.of(OTHER));
  private static final List<MembershipMessage> MESSAGES =
      List.of(
          new MembershipMessage.Ping(1, true, GOSSIP),
          new MembershipMessage.PingReq(2, new VmId("vm-3"), GOSSIP),
          new MembershipMessage.Ack(-3, GOSSIP));

  /** Guards against fields that are lost or swapped between encoding and decoding. */
  @Test
  void decodedMessagesEqualEncodedMessages() throws MalformedMessageException {
    for (MembershipMessage message : MESSAGES) {
      assertEquals(message, MembershipCodec.decode(MembershipCodec.encode(message)));
    }
  }

  /** Guards against truncated or corrupt bytes that raise another exception on the event loop. */
  @Test
  void corruptBytesAreReportedAsMalformed() {
    Random random = new Random(5);
    for (MembershipMessage message : MESSAGES) {
      byte[] bytes = MembershipCodec.encode(message);
      for (int length = 0; length < bytes.length; length++) {
        byte[] truncated = Arrays.copyOf(bytes, length);
        assertThrows(MalformedMessageException.class, () -> MembershipCodec.decode(truncated));
      }
      for (int i = 0; i < 2_000; i++) {
        byte[] corrupt = bytes.clone();
        corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt();
        decodeAllowingMalformed(corrupt);
      }
    }
  }

  private static void decodeAllowingMalformed(byte[] bytes) {
    try {
      MembershipCodec.decode(bytes);
    } catch (MalformedMessageException expected) {
      assertEquals(MalformedMessageException.class, expected.getClass());
    }
  }
}
