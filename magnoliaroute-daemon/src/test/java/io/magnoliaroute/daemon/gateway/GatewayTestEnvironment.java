package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Test environment with a VM, a stand-in store and two stand-in endpoints in one process. */
final class GatewayTestEnvironment {

  private final Vertx vertx = Vertx.vertx();
  private final Vertx secondVertx = TestRuntime.singleLoopVertx();
  private final TestHttpClient client = new TestHttpClient(vertx);
  private final StandinStore store = new StandinStore(vertx);
  private final StandinStore secondStore = new StandinStore(secondVertx);
  private final StandinEndpoint firstEndpoint = new StandinEndpoint(vertx, "e1");
  private final StandinEndpoint secondEndpoint = new StandinEndpoint(vertx, "e2");
  private final StandinEndpoint thirdEndpoint = new StandinEndpoint(vertx, "e3");
  private final List<Closeable> sockets = new ArrayList<>();
  private final int storePort;
  private Vertx vmVertx = TestRuntime.singleLoopVertx();
  private GatewayNode vm;
  private GatewayNode secondVm;
  private int lastRequestId;

  /** A response as received by a client. */
  record Response(int status, MultiMap headers, String body) {}

  GatewayTestEnvironment() {
    storePort = Await.result(store.start());
    Await.result(firstEndpoint.start());
    Await.result(secondEndpoint.start());
    publishConfiguration(3, "/other/");
    store.put("keyed.servers", "e1", firstEndpoint.entry("s", "ready", 1));
    store.put("keyed.servers", "e2", secondEndpoint.entry("s", "ready", 1));
    vm = startVm(vmVertx, storePort, "vm-1", "dc", List.of());
    Await.until("the VM is ready", () -> readyStatus() == 200);
  }

  StandinStore store() {
    return store;
  }

  StandinEndpoint firstEndpoint() {
    return firstEndpoint;
  }

  StandinEndpoint secondEndpoint() {
    return secondEndpoint;
  }

  StandinEndpoint thirdEndpoint() {
    return thirdEndpoint;
  }

  List<String> executedRequests() {
    List<String> all = new ArrayList<>(firstEndpoint.executedRequestIds());
    all.addAll(secondEndpoint.executedRequestIds());
    all.addAll(thirdEndpoint.executedRequestIds());
    return all;
  }

  List<String> receivedDeadlines() {
    List<String> all = new ArrayList<>(firstEndpoint.receivedDeadlines());
    all.addAll(secondEndpoint.receivedDeadlines());
    return all;
  }

  void clearBehaviours() {
    firstEndpoint.clearBehaviours();
    secondEndpoint.clearBehaviours();
  }

  void setNextBehaviour(StandinEndpoint.Behaviour behaviour) {
    firstEndpoint.addBehaviour(behaviour);
    secondEndpoint.addBehaviour(behaviour);
  }

  void publishConfiguration(long version, String extraPrefix) {
    store.put("keyed.op", "config", StandinConfiguration.json(version, extraPrefix));
  }

  /** Returns a peer of the VM that is not a VM itself. */
  TestPeer peer() {
    return new TestPeer(vertx, vm.peerPort());
  }

  /** Starts a third endpoint. */
  void startThirdEndpoint() {
    Await.result(thirdEndpoint.start());
    store.put("keyed.servers", "e3", thirdEndpoint.entry("s", "ready", 1));
    Await.until("the third endpoint is usable", () -> usableEndpointsAtFirstVm() == 3);
  }

  /** Replaces the second endpoint by a third one of another software version. */
  void replaceSecondEndpoint(String softwareVersion) {
    thirdEndpoint.setSoftwareVersion(softwareVersion);
    startThirdEndpoint();
    store.put("keyed.servers", "e2", "");
    awaitUsableEndpoints(2);
  }

  /** Removes one of two usable endpoints. */
  void removeEndpoint(String id) {
    store.put("keyed.servers", id, "");
    awaitUsableEndpoints(1);
  }

  void restoreThirdEndpoint() {
    store.put("keyed.servers", "e3", thirdEndpoint.entry("s", "ready", 2));
    awaitUsableEndpoints(2);
  }

  /** Sends the second VM a request that resumes the stream of another one after three events. */
  Response resumeAtSecondVm(String requestId, String resumedRequestId) {
    Map<String, String> headers =
        Map.of(
            "Host",
            "h",
            "X-Request-Id",
            requestId,
            "Resumes",
            resumedRequestId,
            "Last-Event-Id",
            "3");
    return Await.result(client.send(secondVm.clientPort(), HttpMethod.POST, "/stream/x", headers));
  }

  /** Starts a third endpoint; all three endpoints crash on the next request that they execute. */
  void startThirdAndCrashAllOnNextRequest(StandinEndpoint.Behaviour crash) {
    startThirdEndpoint();
    for (StandinEndpoint each : List.of(firstEndpoint, secondEndpoint, thirdEndpoint)) {
      each.addBehaviour(crash);
    }
  }

  /** Restarts the first endpoint after a crash, at another address. */
  void restartFirstEndpoint() {
    Await.result(firstEndpoint.start());
    store.put("keyed.servers", "e1", firstEndpoint.entry("s", "ready", 2));
  }

  void drainFirstEndpoint() {
    store.put("keyed.servers", "e1", firstEndpoint.entry("s", "draining", 2));
    awaitUsableEndpoints(1);
  }

  /** Replaces the listed endpoints by one that responds as the script defines. */
  RawEndpoint startScriptedEndpoint(RawEndpoint.Script script) {
    return startScriptedEndpoint(script, false);
  }

  /**
   * Replaces the listed endpoints by one that responds as the script defines.
   *
   * @param resets whether the endpoint closes connections with a reset
   */
  RawEndpoint startScriptedEndpoint(RawEndpoint.Script script, boolean resets) {
    removeEndpoints();
    RawEndpoint endpoint = new RawEndpoint(vertx, script, resets);
    int port = Await.result(endpoint.start());
    store.put("keyed.servers", "raw", StandinEndpoint.entryAt(port, "s", "ready", 1));
    awaitUsableEndpoints(1);
    return endpoint;
  }

  /** Adds an endpoint that responds as the script defines. */
  RawEndpoint addScriptedEndpoint(String id, RawEndpoint.Script script) {
    int usableBefore = usableEndpointsAtFirstVm();
    RawEndpoint endpoint = new RawEndpoint(vertx, script, false);
    int port = Await.result(endpoint.start());
    store.put("keyed.servers", id, StandinEndpoint.entryAt(port, "s", "ready", 1));
    awaitUsableEndpoints(usableBefore + 1);
    return endpoint;
  }

  /** Sends a request with a body of the given length and returns the status code. */
  int sendBody(String path, int bodyBytes) {
    Buffer body = Buffer.buffer(new byte[bodyBytes]);
    return Await.result(client.send(vm.clientPort(), HttpMethod.POST, path, nextHeaders(), body))
        .status();
  }

  /** Replaces the endpoints of both VMs by one that responds as the script defines. */
  RawEndpoint startScriptedEndpoint(VmLinks links, RawEndpoint.Script script, boolean resets)
      throws IOException {
    RawEndpoint endpoint = new RawEndpoint(vertx, script, resets);
    links.replaceEndpoints(Await.result(endpoint.start()));
    awaitUsableEndpoints(1);
    Await.until("both VMs use the endpoint", () -> usableEndpointsAtSecondVm() == 1);
    return endpoint;
  }

  /** Sends requests concurrently and returns their status codes; 0 if a connection was closed. */
  List<Integer> sendConcurrently(int count, String method, String path) {
    List<Future<Response>> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(begin(method, path));
    }
    List<Integer> statuses = new ArrayList<>();
    for (Future<Response> each : all) {
      statuses.add(Await.result(each.map(Response::status).otherwise(0)));
    }
    return statuses;
  }

  /** Replaces the listed endpoints by some that accept no connections, as in a partition. */
  void listUnreachableEndpoints(int count) throws IOException {
    removeEndpoints();
    for (int i = 0; i < count; i++) {
      SilentListener listener = new SilentListener(0);
      sockets.add(listener);
      store.put(
          "keyed.servers", "cut" + i, StandinEndpoint.entryAt(listener.port(), "s", "ready", 1));
    }
    awaitUsableEndpoints(count);
  }

  /** Crashes both endpoints, which stay listed in the store. */
  void crashBothEndpoints() {
    Await.result(firstEndpoint.crash());
    Await.result(secondEndpoint.crash());
  }

  void removeEndpoints() {
    store.put("keyed.servers", "e1", "");
    store.put("keyed.servers", "e2", "");
    awaitUsableEndpoints(0);
  }

  // The state of a VM may only be read on its event loop, which updates it.
  int usableEndpointsAtFirstVm() {
    return Await.result(TestRuntime.callOnContext(vmVertx, () -> vm.usableEndpoints("s")));
  }

  int usableEndpointsAtSecondVm() {
    return Await.result(
        TestRuntime.callOnContext(secondVertx, () -> secondVm.usableEndpoints("s")));
  }

  /** Returns the number of budget partitions that the first VM has loaded. */
  int loadedPartitionsAtFirstVm() {
    return Await.result(TestRuntime.callOnContext(vmVertx, () -> vm.loadedPartitions()));
  }

  int loadedPartitionsAtSecondVm() {
    return Await.result(TestRuntime.callOnContext(secondVertx, () -> secondVm.loadedPartitions()));
  }

  private void awaitUsableEndpoints(int count) {
    Await.until(
        "the expected number of endpoints is usable", () -> usableEndpointsAtFirstVm() == count);
  }

  Response call(String method, String path, Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    all.putIfAbsent("X-Request-Id", String.valueOf(++lastRequestId));
    all.put("Host", "h");
    return Await.result(client.send(vm.clientPort(), HttpMethod.valueOf(method), path, all));
  }

  Response sendTurn(String program, long budget, long maxTokens) {
    return call("POST", "/stream/x", turnHeaders(program, budget, maxTokens));
  }

  Response callSecondVm(String path) {
    return Await.result(client.send(secondVm.clientPort(), HttpMethod.GET, path, nextHeaders()));
  }

  private static Map<String, String> turnHeaders(String program, long budget, long maxTokens) {
    return new HashMap<>(
        Map.of(
            "Host",
            "h",
            "X-Program-Id",
            program,
            "X-Session-Id",
            "s1",
            "X-Token-Budget",
            String.valueOf(budget),
            "X-Token-Usage",
            "10," + maxTokens));
  }

  /** Sends a request and closes the client's connection once an endpoint executes it. */
  void disconnectDuring(String method, String path) {
    int executedBefore = executedRequests().size();
    HttpClient disconnecting = vertx.createHttpClient();
    disconnecting
        .request(HttpMethod.valueOf(method), vm.clientPort(), "127.0.0.1", path)
        .onSuccess(
            request -> {
              request.putHeader("Host", "h").putHeader("X-Request-Id", "leaves");
              request.send();
            });
    Await.until(
        "an endpoint executes the request", () -> executedRequests().size() > executedBefore);
    Await.result(disconnecting.close());
  }

  int readyStatus() {
    return Await.result(client.send(vm.readyPort(), HttpMethod.GET, "/-/ready", Map.of())).status();
  }

  int secondReadyStatus() {
    return Await.result(client.send(secondVm.readyPort(), HttpMethod.GET, "/-/ready", Map.of()))
        .status();
  }

  void restartVm() {
    Await.result(vmVertx.close());
    vmVertx = TestRuntime.singleLoopVertx();
    vm = new TestVm("vm-1", "dc", storePort, List.of()).asRestart().start(vmVertx);
  }

  /** Restarts the first VM with another grace period for its stop. */
  void restartVmWithGracePeriod(long gracePeriodMs) {
    Await.result(vmVertx.close());
    vmVertx = TestRuntime.singleLoopVertx();
    TestVm options = new TestVm("vm-1", "dc", storePort, List.of());
    vm = options.asRestart().withGracePeriod(gracePeriodMs).start(vmVertx);
    Await.until("the VM is ready", () -> readyStatus() == 200);
  }

  /** Restarts the first VM with the second one as its seed. */
  void restartVmBesideSecond() {
    Await.result(vmVertx.close());
    vmVertx = TestRuntime.singleLoopVertx();
    List<HostPort> seeds = List.of(new HostPort("127.0.0.1", secondVm.peerPort()));
    vm = new TestVm("vm-1", "dc", storePort, seeds).asRestart().start(vmVertx);
  }

  /** Starts a second VM in another data centre, with the same store. */
  void startSecondVm() {
    secondVm = startVm(secondVertx, storePort, "vm-2", "dc2", firstVmAddress());
  }

  /** Starts a second VM with the same store, and waits until both VMs know each other. */
  void joinSecondVm(String dataCentre) {
    secondVm = startVm(secondVertx, storePort, "vm-2", dataCentre, firstVmAddress());
    Await.until("the second VM is ready", () -> secondReadyStatus() == 200);
    Await.until("both VMs know each other", () -> vm.knownVms() == 2 && secondVm.knownVms() == 2);
  }

  /**
   * Starts a second VM that has its own network paths to both endpoints, so that the returned paths
   * of the first VM can be cut alone.
   */
  VmLinks joinSecondVmWithOwnLinks() throws IOException {
    VmLinks links = VmLinks.create(List.of(firstEndpoint, secondEndpoint), store, secondStore);
    sockets.add(links);
    VmLinks.registerVm(secondStore, "vm-1", vm.peerPort());
    secondVm = startVm(secondVertx, Await.result(secondStore.start()), "vm-2", "dc", List.of());
    VmLinks.registerVm(store, "vm-2", secondVm.peerPort());
    Await.until("both VMs know each other", () -> vm.knownVms() == 2 && secondVm.knownVms() == 2);
    Await.until("no VM awaits a peer's view", () -> !vm.isStarting() && !secondVm.isStarting());
    links.connect();
    Await.until(
        "the first VM uses all its links",
        () -> call("GET", "/safe/x", Map.of()).status() == 200 && links.areAllUsed());
    return links;
  }

  /** Returns how many crashes the first VM has counted against requests. */
  int countedCrashes() {
    return readCounter(vm, "endpoint_crashes_by_requests");
  }

  /** Returns how many attempts of the first VM have failed. */
  int countFailedAttempts() {
    return readCounter(vm, "sends_failed");
  }

  /** Returns how many surplus responses the first VM has discarded. */
  int countSurplusResponses() {
    return readCounter(vm, "surplus_responses");
  }

  boolean storeUnavailable() {
    return Await.result(TestRuntime.callOnContext(vmVertx, () -> vm.isStoreUnavailable()));
  }

  boolean storeUnavailableAtSecondVm() {
    return Await.result(
        TestRuntime.callOnContext(secondVertx, () -> secondVm.isStoreUnavailable()));
  }

  /** Pauses the first VM, as a freeze of its process does, until the result runs. */
  Runnable pauseVm() {
    return TestRuntime.pause(vmVertx);
  }

  /** Pauses the second VM until the result runs. */
  Runnable pauseSecondVm() {
    return TestRuntime.pause(secondVertx);
  }

  /** Stops the first VM without a graceful shutdown; its state in memory is lost. */
  void killVm() {
    Await.result(vmVertx.close());
  }

  void killSecondVm() {
    Promise<Void> stopped = Promise.promise();
    secondVertx.runOnContext(run -> secondVm.completeStop(stopped));
    Await.result(stopped.future().compose(ended -> secondVertx.close()));
  }

  /** Sends a request without waiting for its response. */
  Future<Response> begin(String method, String path) {
    return client.send(vm.clientPort(), HttpMethod.valueOf(method), path, nextHeaders());
  }

  private Map<String, String> nextHeaders() {
    return Map.of("X-Request-Id", String.valueOf(++lastRequestId), "Host", "h");
  }

  /** Sends one turn of each program to the second VM and returns the status codes. */
  List<Integer> sendTurnsToSecondVm(int programs, long budget, long maxTokens) {
    return sendTurnsToSecondVm("p", programs, budget, maxTokens);
  }

  /** Sends one turn of each program, named by the prefix and a number, to the second VM. */
  List<Integer> sendTurnsToSecondVm(String prefix, int programs, long budget, long maxTokens) {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < programs; i++) {
      Map<String, String> headers = turnHeaders(prefix + i, budget, maxTokens);
      headers.put("X-Request-Id", String.valueOf(++lastRequestId));
      statuses.add(
          Await.result(client.send(secondVm.clientPort(), HttpMethod.POST, "/stream/x", headers))
              .status());
    }
    return statuses;
  }

  /** Starts a second VM in another data centre, whose store refuses every call. */
  void startSecondVmWithoutStore() {
    secondStore.setFault(StandinStore.Fault.DOWN);
    int port = Await.result(secondStore.start());
    secondVm = startVm(secondVertx, port, "vm-2", "dc2", firstVmAddress());
  }

  /**
   * Starts a second VM with a store of its own that has the records of the first store up to now,
   * and no later ones. The VM considers its view current, although it is older than the first one.
   */
  void startSecondVmWithOlderView() {
    secondStore.put("keyed.op", "config", StandinConfiguration.json(3, "/other/"));
    secondStore.put("keyed.servers", "e1", firstEndpoint.entry("s", "ready", 1));
    secondStore.put("keyed.servers", "e2", secondEndpoint.entry("s", "ready", 1));
    int port = Await.result(secondStore.start());
    secondVm = startVm(secondVertx, port, "vm-2", "dc2", List.of());
    Await.until("the second VM is ready", () -> secondReadyStatus() == 200);
  }

  private List<HostPort> firstVmAddress() {
    return List.of(new HostPort("127.0.0.1", vm.peerPort()));
  }

  GatewayNode vm() {
    return vm;
  }

  /** Reserves a turn at the first VM as a peer does that cannot reach the store. */
  TokenBudgets.Verdict reserveFromMemory(String program, long budget, long maxTokens) {
    Future<Future<TokenBudgets.Verdict>> reservation =
        TestRuntime.callOnContext(
            vmVertx,
            () ->
                vm.allowances()
                    .reserveLocally(program, budget, maxTokens, TokenBudgets.Mode.REMEMBERED));
    return Await.result(reservation.compose(verdict -> verdict));
  }

  GatewayNode secondVm() {
    return secondVm;
  }

  /** Sends turns to both VMs concurrently and returns how many were served. */
  int countServedTurns(int turns, String program, long budget, long maxTokens) {
    List<Future<Response>> all = new ArrayList<>();
    for (int i = 0; i < turns; i++) {
      GatewayNode target = i % 2 == 0 ? vm : secondVm;
      Map<String, String> headers = turnHeaders(program, budget, maxTokens);
      headers.put("X-Request-Id", String.valueOf(++lastRequestId));
      all.add(client.send(target.clientPort(), HttpMethod.POST, "/stream/x", headers));
    }
    int served = 0;
    for (Future<Response> each : all) {
      served += Await.result(each).status() == 200 ? 1 : 0;
    }
    return served;
  }

  /**
   * Sends requests at a constant rate, alternately to the VMs, and returns the status codes; 0 if a
   * connection was closed.
   */
  List<Integer> sendAtRate(int requestsPerS, long durationMs, String path) {
    List<Future<Integer>> sent = new ArrayList<>();
    long intervalMs = 1_000 / requestsPerS;
    for (int i = 0; i < durationMs / intervalMs; i++) {
      GatewayNode target = i % 2 == 0 || secondVm == null ? vm : secondVm;
      Map<String, String> headers = nextHeaders();
      sent.add(
          vertx
              .timer(Math.max(1, i * intervalMs), TimeUnit.MILLISECONDS)
              .compose(due -> client.send(target.clientPort(), HttpMethod.GET, path, headers))
              .map(Response::status)
              .otherwise(0));
    }
    return Await.result(Future.join(sent).map(joined -> joined.<Integer>list()));
  }

  /** Returns how often one VM considered the other one lost. */
  int countLostPeers() {
    return readCounter(vm, "peers_lost") + readCounter(secondVm, "peers_lost");
  }

  private int readCounter(GatewayNode node, String name) {
    String metrics =
        Await.result(client.send(node.readyPort(), HttpMethod.GET, "/metrics", Map.of())).body();
    Matcher counts = Pattern.compile(name + "\\S* (\\d+)").matcher(metrics);
    return counts.results().mapToInt(count -> Integer.parseInt(count.group(1))).sum();
  }

  Future<Void> beginVmStop() {
    return vm.stop();
  }

  /** Stops the VM while clients send requests without a pause; returns the status codes. */
  List<Integer> callsWhileStopping(int clients) {
    Future<Void> stopped = vm.stop();
    List<Future<Response>> open = new ArrayList<>();
    List<Integer> statuses = new ArrayList<>();
    while (!stopped.isComplete()) {
      for (int i = 0; i < clients; i++) {
        open.add(begin("POST", i % 2 == 0 ? "/unsafe/x" : "/stream/x"));
      }
      open.forEach(each -> statuses.add(Await.result(each).status()));
      open.clear();
    }
    return statuses;
  }

  /**
   * Sends a request after a delay, on a new connection, to an endpoint that does not respond; it
   * ends at its deadline.
   */
  Future<Response> sendUnansweredAfter(long delayMs, long deadlineMs) {
    setNextBehaviour(StandinEndpoint.Behaviour.HANGS);
    Map<String, String> headers =
        Map.of(
            "X-Request-Id",
            String.valueOf(++lastRequestId),
            "Host",
            "h",
            "X-Deadline-Ms",
            String.valueOf(deadlineMs));
    return vertx
        .timer(delayMs, TimeUnit.MILLISECONDS)
        .compose(fired -> client.send(vm.clientPort(), HttpMethod.POST, "/unsafe/x", headers));
  }

  private static GatewayNode startVm(
      Vertx runtime, int storePort, String name, String dataCentre, List<HostPort> seeds) {
    return new TestVm(name, dataCentre, storePort, seeds).start(runtime);
  }

  void close() throws IOException {
    for (Closeable each : sockets) {
      each.close();
    }
    Await.result(vmVertx.close());
    Await.result(secondVertx.close());
    Await.result(vertx.close());
  }
}
