package io.magnoliaroute.standin.users;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Starts two VMs in front of stand-ins, sends them requests and stops them, so that the Java
 * runtime of the first one can archive the classes that are loaded while it serves requests. A
 * start from this archive loads only few additional classes.
 */
public final class Rehearsal {

  private static final String SETTINGS_VARIABLE = "MAGNOLIAROUTE_SETTINGS";
  private static final String ARCHIVE_OPTION = "-XX:ArchiveClassesAtExit";
  private static final int ROUNDS = 20;
  private static final int BUDGET_TOKENS = 1_000;

  /** A start takes about 1 s on an idle machine; builds may run on a busy one. */
  private static final long START_TIMEOUT_MS = 60_000;

  private static final long STOP_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 50;
  private static final int STATUS_OK = 200;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client = vertx.createHttpClient();
  private int sentRequests;

  private record Vm(Process process, int clientPort, int readyPort) {}

  private Rehearsal() {}

  /**
   * Runs the rehearsal and exits with the exit code of the first VM.
   *
   * @param command the command that starts a VM, including the option that archives its classes
   */
  public static void main(String[] command) throws Exception {
    Rehearsal rehearsal = new Rehearsal();
    int exitCode = 1;
    try {
      exitCode = rehearsal.run(List.of(command));
    } finally {
      await(rehearsal.vertx.close());
    }
    System.exit(exitCode);
  }

  private int run(List<String> command) throws Exception {
    StandinStore store = new StandinStore(vertx);
    int storePort = await(store.start());
    store.put("keyed.op", "config", StandinConfiguration.json(1, "/other/"));
    for (String id : List.of("e1", "e2")) {
      StandinEndpoint endpoint = new StandinEndpoint(vertx, id);
      await(endpoint.start());
      store.put("keyed.servers", id, endpoint.entry(StandinConfiguration.SERVICE, "ready", 1));
    }
    List<String> withoutArchive = new ArrayList<>(command);
    withoutArchive.removeIf(argument -> argument.startsWith(ARCHIVE_OPTION));
    Vm second = start(withoutArchive, storePort, "vm-2");
    Vm first = start(command, storePort, "vm-1");
    try {
      awaitReady(second);
      awaitReady(first);
      for (int round = 0; round < ROUNDS; round++) {
        sendRequests(first.clientPort());
        sendRequests(second.clientPort());
      }
    } finally {
      stop(second);
      stop(first);
    }
    return first.process().exitValue();
  }

  private Vm start(List<String> command, int storePort, String name) throws IOException {
    int clientPort = freePort();
    int readyPort = freePort();
    Map<String, Object> settings =
        Map.of(
            "node",
            name,
            "zone",
            "dc",
            "listen",
            Map.of(
                "front",
                loopbackAddress(clientPort),
                "ready",
                loopbackAddress(readyPort),
                "control",
                loopbackAddress(freePort())),
            "provider",
            Map.of("addr", loopbackAddress(storePort), "parts", 2),
            "bootstrap",
            true,
            "bounds",
            Map.of("grace_s", 1));
    Path file = Files.createTempFile("rehearsal", ".json");
    file.toFile().deleteOnExit();
    Files.write(file, new ObjectMapper().writeValueAsBytes(settings));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(SETTINGS_VARIABLE, file.toString());
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(ProcessBuilder.Redirect.INHERIT);
    return new Vm(builder.start(), clientPort, readyPort);
  }

  private void sendRequests(int port) throws Exception {
    await(send(port, HttpMethod.GET, "/safe/x", Map.of()));
    await(send(port, HttpMethod.POST, "/unsafe/x", Map.of("X-Deadline-Ms", "1500")));
    await(
        send(
            port,
            HttpMethod.POST,
            "/stream/x",
            Map.of(
                "X-Program-Id",
                "p" + sentRequests,
                "X-Session-Id",
                "s" + sentRequests,
                "X-Token-Budget",
                String.valueOf(BUDGET_TOKENS),
                "X-Token-Usage",
                "10,100")));
  }

  private void awaitReady(Vm vm) throws Exception {
    for (long waitedMs = 0; waitedMs < START_TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
      int status =
          await(
              send(vm.readyPort(), HttpMethod.GET, "/-/ready", Map.of())
                  .recover(notReady -> Future.succeededFuture(0)));
      if (status == STATUS_OK) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    throw new TimeoutException("the VM was not ready within " + START_TIMEOUT_MS + " ms");
  }

  private Future<Integer> send(
      int port, HttpMethod method, String path, Map<String, String> headers) {
    String id = String.valueOf(++sentRequests);
    RequestOptions options =
        new RequestOptions().setHost("127.0.0.1").setPort(port).setMethod(method).setURI(path);
    Promise<Integer> status = Promise.promise();
    // Sends on the event loop: a response could arrive before another thread registers its handler.
    vertx.runOnContext(
        ignored ->
            client
                .request(options)
                .compose(
                    request -> {
                      headers.forEach(request::putHeader);
                      request.putHeader("Host", StandinConfiguration.HOST);
                      request.putHeader("X-Request-Id", id);
                      return sendAndReadStatus(request);
                    })
                .onComplete(status));
    return status.future();
  }

  private static Future<Integer> sendAndReadStatus(HttpClientRequest request) {
    return request
        .send("x")
        .compose(response -> response.body().map(body -> response.statusCode()));
  }

  private static void stop(Vm vm) throws InterruptedException {
    vm.process().destroy();
    if (!vm.process().waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      vm.process().destroyForcibly().waitFor();
    }
  }

  private static String loopbackAddress(int port) {
    return "127.0.0.1:" + port;
  }

  // Selects the port in advance, since the settings of a VM contain it before the VM listens.
  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static <T> T await(Future<T> future)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
