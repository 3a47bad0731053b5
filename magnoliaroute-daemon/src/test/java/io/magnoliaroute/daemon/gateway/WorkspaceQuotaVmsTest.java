package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against quotas that each VM applies alone, or that end with the VM that issues them. */
@DisplayName("The quota of a workspace over three VMs")
class WorkspaceQuotaVmsTest {

  private static final String KEY = "key-1";
  private static final double PER_S = 20;
  private static final double BURST = 10;
  private static final long DURATION_MS = 5_000;

  /** The page's bound for a window of 5 s. */
  private static final double ALLOWED = (PER_S * 5 + BURST) * 1.1 + 20;

  private static final int VMS = 3;

  private final Vertx vertx = Vertx.vertx();
  private final TestHttpClient client = new TestHttpClient(vertx);
  private final StandinStore store = new StandinStore(vertx);
  private final StandinEndpoint endpoint = new StandinEndpoint(vertx, "e1");
  private final List<Vertx> runtimes = new ArrayList<>();
  private final List<GatewayNode> vms = new ArrayList<>();
  private int lastRequestId;

  @BeforeEach
  void start() {
    int storePort = Await.result(store.start());
    Await.result(endpoint.start());
    publish(1, PER_S, BURST);
    store.put("keyed.servers", "e1", endpoint.entry("s", "ready", 1));
    for (int i = 0; i < VMS; i++) {
      Vertx runtime = TestRuntime.singleLoopVertx();
      List<HostPort> seeds =
          vms.stream().map(vm -> new HostPort("127.0.0.1", vm.peerPort())).toList();
      runtimes.add(runtime);
      vms.add(new TestVm("vm-" + i, "dc", storePort, seeds).start(runtime));
    }
    Await.until("all VMs know each other", () -> vms.stream().allMatch(this::isReady));
    // The first issuer starts with an empty bucket, and the first requests of a process are slow.
    Await.result(sendAtRate(PER_S / 2, 2_000, vms));
  }

  private void publish(long version, double perS, double burst) {
    store.put(
        "keyed.op",
        "config",
        StandinConfiguration.jsonWithWorkspace(version, "w1", KEY, perS, burst));
  }

  private boolean isReady(GatewayNode vm) {
    int status =
        Await.result(client.send(vm.readyPort(), HttpMethod.GET, "/-/ready", Map.of())).status();
    return status == 200 && vm.knownVms() == VMS;
  }

  @AfterEach
  void stop() {
    runtimes.forEach(runtime -> Await.result(runtime.close()));
    Await.result(vertx.close());
  }

  private Future<Response> send(GatewayNode vm, String path) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Host", "h");
    headers.put("X-Request-Id", String.valueOf(++lastRequestId));
    headers.put("Authorization", "Bearer " + KEY);
    return client.send(vm.clientPort(), HttpMethod.GET, path, headers);
  }

  /** Sends requests at a constant rate to the VMs in turn; the responses come in that order. */
  private Future<List<Response>> sendAtRate(
      double requestsPerS, long durationMs, List<GatewayNode> targets) {
    List<Future<Response>> sent = new ArrayList<>();
    for (int i = 0; i < requestsPerS * durationMs / 1_000; i++) {
      GatewayNode vm = targets.get(i % targets.size());
      sent.add(
          vertx
              .timer(Math.max(1, (long) (i * 1_000 / requestsPerS)), TimeUnit.MILLISECONDS)
              .compose(due -> send(vm, "/safe/x"))
              .otherwise(new Response(0, null, "")));
    }
    return Future.join(sent).map(joined -> joined.<Response>list());
  }

  private static long count(List<Response> responses, int status) {
    return responses.stream().filter(each -> each.status() == status).count();
  }

  private static List<String> refused(List<Response> responses) {
    return responses.stream()
        .filter(each -> each.status() != 200)
        .map(each -> each.status() + " " + each.body())
        .toList();
  }

  private int issuedBy(GatewayNode vm) {
    return counter(vm, "quota_requests\\{result=\"?granted");
  }

  private int counter(GatewayNode vm, String name) {
    String metrics =
        Await.result(client.send(vm.readyPort(), HttpMethod.GET, "/metrics", Map.of())).body();
    Matcher counts = Pattern.compile(name + "\\S* (\\d+)").matcher(metrics);
    return counts.results().mapToInt(each -> Integer.parseInt(each.group(1))).sum();
  }

  @Test
  @DisplayName("holds for all together; over it, clients get 429 with different Retry-After values")
  void overQuota() {
    int before = endpoint.executedRequestIds().size();
    List<Response> responses = Await.result(sendAtRate(8 * PER_S, DURATION_MS, vms));
    long served = count(responses, 200);
    assertTrue(served <= ALLOWED, served + " requests served, allowed are " + ALLOWED);
    assertTrue(served >= 0.9 * PER_S * DURATION_MS / 1_000, "only " + served + " served");
    assertEquals(responses.size() - served, count(responses, 429));
    List<String> retryAfter =
        responses.stream()
            .filter(each -> each.status() == 429)
            .map(each -> each.headers().get("Retry-After"))
            .toList();
    assertTrue(retryAfter.stream().allMatch(each -> Double.parseDouble(each) >= 0.1));
    assertTrue(retryAfter.stream().distinct().count() > 20, "retries are not spread");
    assertEquals(served, endpoint.executedRequestIds().size() - before);
    assertTrue(vms.stream().mapToInt(vm -> counter(vm, "quota_requests.*denied_l")).sum() > 0);
  }

  @Test
  @DisplayName("refuses nothing under it, though one VM gets three quarters of the requests")
  void underQuota() {
    List<GatewayNode> targets = new ArrayList<>(Collections.nCopies(6, vms.get(0)));
    targets.addAll(vms.subList(1, VMS));
    List<Response> responses = Await.result(sendAtRate(PER_S * 0.8, DURATION_MS, targets));
    assertEquals(List.of(), refused(responses));
    assertTrue(vms.stream().allMatch(vm -> issuedBy(vm) > 0));
  }

  @Test
  @DisplayName("holds when any of the VMs is killed, and refuses nothing under it afterwards")
  void vmKilled() {
    for (int killed = 0; killed < VMS - 1; killed++) {
      Await.result(runtimes.get(killed).close());
      List<GatewayNode> left = vms.subList(killed + 1, VMS);
      List<Response> under = Await.result(sendAtRate(PER_S * 0.6, 2_000, left));
      assertEquals(List.of(), refused(under), "after VM " + killed + " was killed");
    }
    int before = endpoint.executedRequestIds().size();
    Await.result(sendAtRate(8 * PER_S, DURATION_MS, vms.subList(VMS - 1, VMS)));
    int ran = endpoint.executedRequestIds().size() - before;
    assertTrue(ran <= ALLOWED, ran + " requests ran, allowed are " + ALLOWED);
    assertTrue(ran >= 0.9 * PER_S * DURATION_MS / 1_000, "only " + ran + " ran");
  }

  @Test
  @DisplayName("gets the permits back of requests that did not reach an endpoint")
  void unusedPermitsAreReturned() {
    store.put("keyed.servers", "e1", "");
    Await.until(
        "requests are refused for lack of an endpoint",
        () -> Await.result(send(vms.get(0), "/brief/x")).status() == 503);
    Await.until(
        "permits are returned",
        () ->
            Await.result(send(vms.get(0), "/brief/x")).status() == 503
                && counter(vms.get(0), "quota_requests\\{result=\"?returned") > 0);
  }

  @Test
  @DisplayName("applies a lowered cap to all VMs")
  void capLowered() {
    Await.result(sendAtRate(PER_S / 2, 500, vms));
    publish(2, 2, 1);
    Await.until(
        "the lowered cap is applied",
        () -> count(Await.result(sendAtRate(40, 500, vms)), 429) >= 15);
    int before = endpoint.executedRequestIds().size();
    Await.result(sendAtRate(40, DURATION_MS, vms));
    int ran = endpoint.executedRequestIds().size() - before;
    assertTrue(ran <= (2 * 5 + 1) * 1.1 + 20, ran + " requests ran at the lowered cap");
  }
}
