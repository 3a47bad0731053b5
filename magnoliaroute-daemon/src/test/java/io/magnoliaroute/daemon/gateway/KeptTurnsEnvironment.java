package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Several VMs with a store and one endpoint, on a route whose turns the system keeps. */
final class KeptTurnsEnvironment {

  /** The output that the endpoint's events add to a chain. */
  static final String OUTPUT = output();

  private static final int PARTITIONS = 2;

  private final Vertx vertx = Vertx.vertx();
  private final TestHttpClient client = new TestHttpClient(vertx);
  private final StandinStore store = new StandinStore(vertx);
  private final StandinEndpoint endpoint = new StandinEndpoint(vertx, "e1");
  private final int storePort;
  private final List<Vm> vms = new ArrayList<>();

  private static final class Vm {
    private final Vertx runtime;
    private final GatewayNode node;
    private boolean ended;

    Vm(Vertx runtime, GatewayNode node) {
      this.runtime = runtime;
      this.node = node;
    }
  }

  /** Starts the given number of VMs, in two data centres, for the first time. */
  KeptTurnsEnvironment(int count) {
    storePort = Await.result(store.start());
    Await.result(endpoint.start());
    store.put("keyed.op", "config", StandinConfiguration.json(3, "/other/"));
    store.put("keyed.servers", "e1", endpoint.entry("s", "ready", 1));
    startVms(count, true);
  }

  private static String output() {
    StringBuilder data = new StringBuilder();
    for (int i = 1; i <= StandinEndpoint.EVENTS_PER_STREAM; i++) {
      data.append("token ").append(i).append('\n');
    }
    return data.toString();
  }

  private void startVms(int count, boolean firstStart) {
    List<HostPort> seeds = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Vm vm = startVm(i, seeds, firstStart);
      vms.add(vm);
      seeds.add(new HostPort("127.0.0.1", vm.node.peerPort()));
    }
    vms.forEach(each -> awaitReady(each, count));
  }

  private Vm startVm(int number, List<HostPort> seeds, boolean firstStart) {
    Vertx runtime = TestRuntime.singleLoopVertx();
    TestVm options = new TestVm("vm-" + number, number % 2 == 0 ? "dc" : "dc2", storePort, seeds);
    return new Vm(runtime, (firstStart ? options : options.asRestart()).start(runtime));
  }

  private static void awaitReady(Vm vm, int count) {
    Await.until("the VM is ready", () -> TestRuntime.read(vm.runtime, vm.node::isReady));
    Await.until(
        "all VMs know each other", () -> TestRuntime.read(vm.runtime, vm.node::knownVms) >= count);
    Await.until(
        "the VM is registered as a holder of records",
        () -> TestRuntime.read(vm.runtime, vm.node::isRecordHolder));
  }

  StandinStore store() {
    return store;
  }

  StandinEndpoint endpoint() {
    return endpoint;
  }

  /** Kills all VMs, so that only the store keeps state, and starts as many again. */
  void restartAll() {
    int count = vms.size();
    for (int i = 0; i < count; i++) {
      kill(i);
    }
    vms.clear();
    startVms(count, false);
  }

  /** Starts a VM that has ended again, under the same name and at another address. */
  void restart(int number) {
    List<HostPort> seeds = new ArrayList<>();
    for (Vm each : vms) {
      if (!each.ended) {
        seeds.add(new HostPort("127.0.0.1", each.node.peerPort()));
      }
    }
    vms.set(number, startVm(number, seeds, false));
    awaitReady(vms.get(number), vms.size());
  }

  /** Blocks the event loop of a VM until the result runs. */
  Runnable pause(int vm) {
    return TestRuntime.pause(vms.get(vm).runtime);
  }

  /** Sends a turn and closes the client's connection once it has received some events. */
  void disconnectAfterEvent(int vm, String turnId, String input, int events) {
    AtomicReference<String> received = new AtomicReference<>("");
    HttpClient disconnecting = vertx.createHttpClient();
    disconnecting
        .request(HttpMethod.POST, vms.get(vm).node.clientPort(), "127.0.0.1", "/keptstream/x")
        .onSuccess(
            request -> {
              request.putHeader("Host", "h").putHeader("X-Request-Id", turnId);
              request
                  .response()
                  .onSuccess(
                      r -> r.handler(bytes -> received.updateAndGet(before -> before + bytes)));
              request.end(input);
            });
    Await.until(
        "the client has received the events",
        () -> received.get().contains("id: " + events + "\n"));
    Await.result(disconnecting.close());
  }

  /** Stops a VM as the platform does when it replaces it. */
  void stopGracefully(int vm) {
    Await.result(vms.get(vm).node.stop());
    kill(vm);
  }

  /** Ends a VM without a graceful shutdown. */
  void kill(int vm) {
    if (!vms.get(vm).ended) {
      vms.get(vm).ended = true;
      Await.result(vms.get(vm).runtime.close());
    }
  }

  /** Sends a turn without a predecessor. */
  int send(int vm, String turnId, String input) {
    return send(vm, turnId, input, Map.of());
  }

  /** Sends a turn that continues another one. */
  int sendAfter(int vm, String turnId, String previousTurn, String input) {
    return send(vm, turnId, input, Map.of("X-Previous-Turn", previousTurn));
  }

  /** Sends a turn and returns the status of its complete response; 0 if it was not complete. */
  int send(int vm, String turnId, String input, Map<String, String> moreHeaders) {
    return Await.result(begin(vm, turnId, input, moreHeaders).otherwise(0));
  }

  Future<Integer> begin(int vm, String turnId, String input, Map<String, String> moreHeaders) {
    Map<String, String> headers = new HashMap<>(moreHeaders);
    headers.put("Host", "h");
    headers.put("X-Request-Id", turnId);
    return client
        .send(
            vms.get(vm).node.clientPort(),
            HttpMethod.POST,
            "/keptstream/x",
            headers,
            Buffer.buffer(input))
        .map(GatewayTestEnvironment.Response::status);
  }

  /** Returns the bodies that the endpoint received for a turn, one for each attempt. */
  List<String> bodiesOf(String turnId) {
    return endpoint.receivedBodies().stream()
        .filter(each -> each.requestId().equals(turnId))
        .map(StandinEndpoint.ReceivedBody::body)
        .toList();
  }

  int storedRecords() {
    int count = 0;
    for (int partition = 0; partition < PARTITIONS; partition++) {
      count += store.recordCount(TurnWriter.TOPIC, partition);
    }
    return count;
  }

  /** Returns how often a result was counted at a VM. */
  int counted(int vm, String result) {
    String metrics =
        Await.result(
                client.send(vms.get(vm).node.readyPort(), HttpMethod.GET, "/metrics", Map.of()))
            .body();
    Matcher count = Pattern.compile("kept_turns\\S*\"" + result + "\"\\S* (\\d+)").matcher(metrics);
    return count.results().mapToInt(each -> Integer.parseInt(each.group(1))).sum();
  }

  int knownVms(int vm) {
    return TestRuntime.read(vms.get(vm).runtime, vms.get(vm).node::knownVms);
  }

  boolean seesStoreUnavailable(int vm) {
    return TestRuntime.read(vms.get(vm).runtime, vms.get(vm).node::isStoreUnavailable);
  }

  void close() {
    for (int i = 0; i < vms.size(); i++) {
      kill(i);
    }
    Await.result(vertx.close());
  }
}
