package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.PlatformProcess;
import io.magnoliaroute.daemon.support.RawClient;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against clients that end, fill or block the process of a VM. */
@DisplayName("The process of a VM survives")
class AbusiveClientsTest {

  private static final PlatformProcess.Limits LIMITS = new PlatformProcess.Limits(290, 400);
  private static final int CLIENTS = 32;
  private static final long LIMIT_MS = 60_000;

  @TempDir private Path directory;
  private final Vertx vertx = Vertx.vertx();
  private PlatformProcess vm;
  private int sentRequests;

  @BeforeEach
  void startVm() throws IOException {
    StandinStore store = new StandinStore(vertx);
    int storePort = Await.result(store.start());
    store.put("keyed.op", "config", StandinConfiguration.json(1, "/other/"));
    store.put("keyed.servers", SizedEndpoint.ID, Await.result(new SizedEndpoint(vertx).start()));
    vm = PlatformProcess.start(directory, LIMITS, storePort);
    Await.within(LIMIT_MS, "an ordinary request is answered", () -> isAnswered("x"));
  }

  @AfterEach
  void stopVm() {
    vm.close();
    Await.result(vertx.close());
  }

  private void survives(AbusiveClient kind) throws Exception {
    AbusiveClient[] kinds = new AbusiveClient[CLIENTS];
    Arrays.fill(kinds, kind);
    survives(kinds);
  }

  private void survives(AbusiveClient... kinds) throws Exception {
    try (ClientCrowd crowd = ClientCrowd.start(vm, kinds)) {
      crowd.awaitSettled();
      Await.within(LIMIT_MS, "a request is answered beside the crowd", () -> isAnswered("x"));
      assertWithinLimits();
    }
    Await.within(LIMIT_MS, "a request is answered after the crowd", () -> isAnswered("x"));
    assertWithinLimits();
  }

  private void assertWithinLimits() throws IOException {
    assertTrue(vm.isAlive(), "the process has ended");
    assertEquals(List.of(), vm.outOfMemoryLines());
    long peakMb = vm.peakMemoryKb() / 1_024;
    assertTrue(
        peakMb <= LIMITS.memoryMb(), "memory: " + peakMb + " MB of " + LIMITS.memoryMb() + " MB");
    int openFds = vm.openFds();
    assertTrue(openFds <= LIMITS.maxFds(), "descriptors: " + openFds + " of " + LIMITS.maxFds());
  }

  private boolean isAnswered(String body) {
    sentRequests++;
    try (RawClient client = new RawClient(vm.clientPort())) {
      client.write(
          RawClient.head(
                  "POST " + SizedEndpoint.SMALL_PATH + " HTTP/1.1",
                  "Host: " + StandinConfiguration.HOST,
                  "X-Request-Id: ordinary-" + sentRequests,
                  "Content-Length: " + body.length())
              + body);
      return client.readResponse().startsWith("HTTP/1.1 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  @DisplayName("a single body of the maximum size, and serves it")
  void servesSingleBodyOfMaximumSize() throws IOException {
    String body = "a".repeat(AbusiveClient.MAX_BODY_BYTES);
    assertTrue(isAnswered(body));
    assertWithinLimits();
  }

  @Test
  @DisplayName("large bodies that stop short of their length")
  void survivesLargeBodiesThatStopShortOfTheirLength() throws Exception {
    survives(AbusiveClient.BODIES_WITH_LENGTH);
  }

  @Test
  @DisplayName("large chunked bodies that do not end")
  void survivesLargeChunkedBodiesThatDoNotEnd() throws Exception {
    survives(AbusiveClient.BODIES_IN_CHUNKS);
  }

  @Test
  @DisplayName("chunks of one byte")
  void survivesChunksOfOneByte() throws Exception {
    survives(AbusiveClient.CHUNKS_OF_ONE_BYTE);
  }

  @Test
  @DisplayName("heads without end")
  void survivesHeadsWithoutEnd() throws Exception {
    survives(AbusiveClient.HEADS_WITHOUT_END);
  }

  @Test
  @DisplayName("heads over the limit")
  void survivesHeadsOverTheLimit() throws Exception {
    survives(AbusiveClient.HEADS_OVER_THE_LIMIT);
  }

  @Test
  @DisplayName("empty lines without end before a request")
  void survivesEmptyLinesWithoutEnd() throws Exception {
    survives(AbusiveClient.EMPTY_LINES_WITHOUT_END);
  }

  @Test
  @DisplayName("slow heads")
  void survivesSlowHeads() throws Exception {
    survives(AbusiveClient.SLOW_HEADS);
  }

  @Test
  @DisplayName("more silent connections than descriptors")
  void survivesMoreSilentConnectionsThanDescriptors() throws Exception {
    survives(AbusiveClient.SILENT_CONNECTIONS);
  }

  @Test
  @DisplayName("more small bodies that stop short of their length than descriptors")
  void survivesMoreSmallBodiesThanDescriptors() throws Exception {
    survives(AbusiveClient.SMALL_BODIES_WITH_LENGTH);
  }

  @Test
  @DisplayName("large responses that are not read")
  void survivesUnreadResponses() throws Exception {
    survives(AbusiveClient.UNREAD_RESPONSES);
  }

  @Test
  @DisplayName("streams that are not read")
  void survivesUnreadStreams() throws Exception {
    survives(AbusiveClient.UNREAD_STREAMS);
  }

  @Test
  @DisplayName("pipelined requests whose responses are not read")
  void survivesPipelinedRequests() throws Exception {
    survives(AbusiveClient.PIPELINED_REQUESTS);
  }

  @Test
  @DisplayName("bytes that go on after a refusal")
  void survivesBytesAfterARefusal() throws Exception {
    survives(AbusiveClient.BYTES_AFTER_A_REFUSAL);
  }

  @Test
  @DisplayName("chunk extensions without end")
  void survivesChunkExtensionsWithoutEnd() throws Exception {
    survives(AbusiveClient.CHUNK_EXTENSIONS_WITHOUT_END);
  }

  @Test
  @DisplayName("trailers without end")
  void survivesTrailersWithoutEnd() throws Exception {
    survives(AbusiveClient.TRAILERS_WITHOUT_END);
  }

  @Test
  @DisplayName("long frames on the port between VMs")
  void survivesLongPeerFrames() throws Exception {
    survives(AbusiveClient.LONG_PEER_FRAMES);
  }

  @Test
  @DisplayName("tunnel requests without end")
  void survivesTunnelRequestsWithoutEnd() throws Exception {
    survives(AbusiveClient.TUNNEL_REQUESTS_WITHOUT_END);
  }

  @Test
  @DisplayName("readiness checks without end")
  void survivesReadinessChecksWithoutEnd() throws Exception {
    survives(AbusiveClient.READINESS_CHECKS_WITHOUT_END);
  }

  @Test
  @DisplayName("all kinds of clients at once")
  void survivesAllKindsAtOnce() throws Exception {
    survives(AbusiveClient.mixed(CLIENTS));
  }

  @Test
  @DisplayName("large responses that are read in part")
  void survivesLargeResponsesReadInPart() throws Exception {
    survives(AbusiveClient.RESPONSES_READ_IN_PART);
  }

  @Test
  @DisplayName("large bodies that wait for responses")
  void survivesLargeBodiesThatWaitForResponses() throws Exception {
    survives(AbusiveClient.BODIES_THAT_WAIT_FOR_RESPONSES);
  }

  @Test
  @DisplayName("more silent peers than descriptors")
  void survivesMoreSilentPeersThanDescriptors() throws Exception {
    survives(AbusiveClient.SILENT_PEERS);
  }

  @Test
  @DisplayName("more silent readiness checks than descriptors")
  void survivesMoreSilentReadinessChecksThanDescriptors() throws Exception {
    survives(AbusiveClient.SILENT_READINESS_CHECKS);
  }
}
