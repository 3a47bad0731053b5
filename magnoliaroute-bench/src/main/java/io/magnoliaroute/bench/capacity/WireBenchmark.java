package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.magnoliaroute.wire.WireException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures size, encoding time and decoding time of the messages between VMs. */
public final class WireBenchmark {

  private static final int FRAME_PREFIX_BYTES = 4;
  private static final int WARM_UP_ROUNDS = 20_000;
  private static final int ROUNDS = 100_000;
  private static final String GROUP = "chat/0";
  private static final CallId CALL =
      new CallId(new ProgramId("0123456789abcdef0123456789abcdef"), 12, 345_678);
  private static final TeamId TEAM = new TeamId("counter");
  private static final EndpointId ENDPOINT = new EndpointId("chat-1");

  private WireBenchmark() {}

  /**
   * Prints one line of results for each message; program messages are measured at two sizes.
   *
   * @throws WireException if an encoded message cannot be decoded
   */
  public static void run(PrintStream out) throws WireException {
    out.println("wire: bytes of a frame with its length prefix, time to encode and decode it");
    MessageCodec codec = new MessageCodec();
    for (Map.Entry<String, PeerMessage> entry : sampleMessages().entrySet()) {
      int bytes = codec.encode(entry.getValue()).length + FRAME_PREFIX_BYTES;
      roundTrips(codec, entry.getValue(), WARM_UP_ROUNDS);
      long startNanos = System.nanoTime();
      roundTrips(codec, entry.getValue(), ROUNDS);
      double microsPerRoundTrip = (System.nanoTime() - startNanos) / 1_000.0 / ROUNDS;
      out.printf("  %-28s %,7d bytes %6.1f us%n", entry.getKey(), bytes, microsPerRoundTrip);
    }
  }

  private static void roundTrips(MessageCodec codec, PeerMessage message, int count)
      throws WireException {
    for (int i = 0; i < count; i++) {
      if (codec.decode(codec.encode(message)).getClass() != message.getClass()) {
        throw new IllegalStateException(
            "unexpected type of decoded message: " + message.getClass());
      }
    }
  }

  private static Map<String, PeerMessage> sampleMessages() {
    WaitingCall waiting =
        WaitingCall.builder(CALL, TEAM, new DataCentreId("natal"))
            .times(1_790_000_000_000L, 1_790_000_060_000L)
            .prompt(20_000, Map.of(ENDPOINT, 18_000))
            .model("desk-chat")
            .build();
    SlotGrant grant =
        new SlotGrant(CALL, ENDPOINT, 900_000, 1_790_000_030_000L, 18_000, false, false, false);
    Map<String, PeerMessage> messages = new LinkedHashMap<>();
    messages.put("SlotRequest", new PeerMessage.SlotRequest(GROUP, waiting));
    messages.put("SlotGrant", new PeerMessage.SlotGrant(GROUP, grant));
    messages.put(
        "SlotProgress",
        new PeerMessage.SlotProgress(GROUP, CALL, new CallObservation(900_000, 200, 50, 1_000)));
    messages.put(
        "SlotRelease",
        new PeerMessage.SlotRelease(
            GROUP, CALL, new CallResult(900_000, CallEnding.COMPLETED, 18_000, 200, 240, 5_000)));
    messages.put("CacheRelease", new PeerMessage.CacheRelease(GROUP, CALL.program()));
    messages.put("ProgramOpen, body 200 B", programOpen(200));
    messages.put("ProgramOpen, body 2000 B", programOpen(2_000));
    messages.put("ProgramChunk, content 200 B", new PeerMessage.ProgramChunk(CALL, zeroBytes(200)));
    messages.put(
        "ProgramChunk, content 2000 B", new PeerMessage.ProgramChunk(CALL, zeroBytes(2_000)));
    messages.put(
        "HistoryMirror, turn 2000 B",
        new PeerMessage.HistoryMirror(3, CALL.program(), 12, zeroBytes(2_000)));
    return messages;
  }

  private static PeerMessage programOpen(int bodyBytes) {
    List<PeerMessage.HeaderField> fields =
        List.of(new PeerMessage.HeaderField("Magnoliaroute-Turn", "12"));
    return new PeerMessage.ProgramOpen(CALL, "turn", TEAM, 1, fields, zeroBytes(bodyBytes));
  }

  private static Bytes zeroBytes(int sizeBytes) {
    return Bytes.copyOf(new byte[sizeBytes]);
  }
}
