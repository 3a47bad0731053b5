import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, of engines and of requesters, and the processes under test. */
final class Kit {

  static final int BROKEN = 10;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  private Kit() {}

  // ---------------------------------------------------------------- record

  /** Writes record.txt: what was sent, answered and run. */
  static final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... arguments) {
      double seconds = (System.nanoTime() - start) / 1e9;
      out.printf("%8.3f %s%n", seconds, String.format(format, arguments));
      out.flush();
    }

    /** Writes the line to the standard output, too. */
    void say(String format, Object... arguments) {
      line(format, arguments);
      System.out.printf(format + "%n", arguments);
    }
  }

  // ---------------------------------------------------------------- HTTP

  /** The head of a request or response, and its body if that was read. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = {};

    String method() {
      return first.split(" ")[0];
    }

    String uri() {
      return first.split(" ")[1];
    }

    String path() {
      return uri().split("\\?")[0];
    }

    String parameter(String name) {
      int query = uri().indexOf('?');
      if (query < 0) {
        return null;
      }
      for (String pair : uri().substring(query + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          String raw = pair.substring(name.length() + 1);
          return java.net.URLDecoder.decode(raw, StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int each = in.read(); each != '\n'; each = in.read()) {
      if (each < 0) {
        throw new IOException("channel closed");
      }
      line.write(each);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.first = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return message;
  }

  static boolean isChunked(Message message) {
    return "chunked".equalsIgnoreCase(message.header("Transfer-Encoding"));
  }

  /** Reads one chunk; empty at the last one. */
  static byte[] readChunk(InputStream in) throws IOException {
    int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
    byte[] chunk = readExactly(in, length);
    readLine(in);
    return chunk;
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = new byte[length];
    new DataInputStream(in).readFully(bytes);
    return bytes;
  }

  static void readBody(InputStream in, Message message) throws IOException {
    if (isChunked(message)) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
        body.write(chunk);
      }
      message.body = body.toByteArray();
    } else if (message.header("Content-Length") != null) {
      message.body = readExactly(in, Integer.parseInt(message.header("Content-Length")));
    }
  }

  static byte[] response(int status, String headers, byte[] body) {
    String head =
        "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    ByteBuffer all = ByteBuffer.allocate(head.length() + body.length);
    return all.put(head.getBytes(StandardCharsets.ISO_8859_1)).put(body).array();
  }

  /** Handles the channels of one listening address, each on a thread of its own. */
  interface ChannelHandler {
    void handle(Socket channel) throws IOException;
  }

  /** A listening loopback address. */
  static final class Listener implements Closeable {
    private final ServerSocket server;
    private final List<Socket> channels = Collections.synchronizedList(new ArrayList<>());

    Listener(int port, ChannelHandler handler) throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1024);
      thread(
          () -> {
            while (true) {
              Socket channel = server.accept();
              channel.setTcpNoDelay(true);
              channels.add(channel);
              thread(
                  () -> {
                    try (channel) {
                      handler.handle(channel);
                    } finally {
                      channels.remove(channel);
                    }
                  });
            }
          });
    }

    int port() {
      return server.getLocalPort();
    }

    /** Resets all channels that are open. */
    void resetChannels() {
      for (Socket each : List.copyOf(channels)) {
        reset(each);
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      resetChannels();
    }
  }

  static void reset(Socket channel) {
    try {
      channel.setSoLinger(true, 0);
      channel.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  interface Step {
    void run() throws Exception;
  }

  /** Runs a step on a daemon thread; an error ends the thread only. */
  static Thread thread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                if (System.getenv("KIT_DEBUG") != null) {
                  e.printStackTrace();
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  // ---------------------------------------------------------------- store

  /** The platform's store: a linearizable log in memory. Each machine has an address of its own. */
  static final class Store {

    /** How the store treats the machine that uses an address. */
    enum Mode {
      SERVES,
      /** Answers 503; calls are not done. */
      BUSY
    }

    /** One machine's way to the store. */
    final class Door {
      volatile Mode mode = Mode.SERVES;
      /** Called with the URI of each call after its answer has been written. */
      volatile java.util.function.Consumer<String> afterAnswer = uri -> {};
      final Listener listener;
      private final java.util.Set<Socket> silent = java.util.concurrent.ConcurrentHashMap.newKeySet();

      Door() throws IOException {
        listener = new Listener(0, channel -> serve(channel, this));
      }

      String address() {
        return "127.0.0.1:" + listener.port();
      }

      /** Lets all open channels go silent for good, without a reset; new ones work. */
      void silenceOpenChannels() {
        silent.addAll(listener.channels);
      }

      /** Changes the mode; channels that are open are reset if the machine is served again. */
      void set(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.SERVES) {
          listener.resetChannels();
        }
      }
    }

    private static final long ANSWER_MS = 4;
    private final Map<String, List<byte[]>> partitions = new HashMap<>();

    Door door() throws IOException {
      return new Door();
    }

    synchronized void put(String topic, String key, String value) {
      byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
      byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
      ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
      record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
      partition(topic, "0").add(record.array());
      notifyAll();
    }

    /** Drops a key, as the store does for an engine that is gone. */
    synchronized void remove(String topic, String key) {
      put(topic, key, "");
    }

    private List<byte[]> partition(String topic, String part) {
      return partitions.computeIfAbsent(topic + "/" + part, name -> new ArrayList<>());
    }

    private void serve(Socket channel, Door door) throws IOException {
      InputStream in = new BufferedInputStream(channel.getInputStream());
      while (true) {
        Message call = readHead(in);
        readBody(in, call);
        if (door.silent.contains(channel)) {
          sleep(600_000);
        }
        byte[] answer =
            door.mode == Mode.BUSY ? response(503, "", new byte[0]) : answer(call, door);
        if (door.silent.contains(channel)) {
          sleep(600_000);
        }
        channel.getOutputStream().write(answer);
        door.afterAnswer.accept(call.uri());
      }
    }

    private byte[] answer(Message call, Door door) throws IOException {
      sleep(ANSWER_MS);
      String topic = call.parameter("topic");
      String part = call.parameter("part");
      switch (call.path()) {
        case "/-/log-append":
          return append(call, topic, part);
        case "/-/log-newest":
          return newest(topic, part);
        case "/-/log-read":
          return read(call, topic, part, door);
        default:
          return response(404, "", new byte[0]);
      }
    }

    private synchronized byte[] append(Message call, String topic, String part) {
      List<byte[]> records = partition(topic, part);
      String at = call.parameter("at");
      if (at != null && Long.parseLong(at) != records.size()) {
        return json(412, "{\"end\":" + records.size() + "}");
      }
      int offset = records.size();
      ByteBuffer body = ByteBuffer.wrap(call.body);
      while (body.hasRemaining()) {
        byte[] record = new byte[body.getInt()];
        body.get(record);
        records.add(record);
      }
      notifyAll();
      return json(200, "{\"offset\":" + offset + ",\"end\":" + records.size() + "}");
    }

    private synchronized byte[] newest(String topic, String part) {
      List<byte[]> records = partition(topic, part);
      Map<String, String> items = new LinkedHashMap<>();
      for (int offset = 0; offset < records.size(); offset++) {
        byte[] record = records.get(offset);
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        items.remove(key);
        if (record.length > 1 + keyLength) {
          byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
          items.put(
              key,
              String.format(
                  "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}",
                  key, Base64.getEncoder().encodeToString(value), offset));
        }
      }
      String list = String.join(",", items.values());
      return json(
          200, "{\"items\":[" + list + "],\"has_more\":false,\"end\":" + records.size() + "}");
    }

    private synchronized byte[] read(Message call, String topic, String part, Door door)
        throws IOException {
      int from = Integer.parseInt(call.parameter("from"));
      String wait = call.parameter("wait_ms");
      long untilMs = nowMs() + (wait == null ? 0 : Long.parseLong(wait));
      List<byte[]> records = partition(topic, part);
      while (records.size() <= from && nowMs() < untilMs && door.mode == Mode.SERVES) {
        try {
          wait(20);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      ByteArrayOutputStream page = new ByteArrayOutputStream();
      page.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
      for (byte[] record : records.subList(Math.min(from, records.size()), records.size())) {
        page.write(ByteBuffer.allocate(4).putInt(record.length).array());
        page.write(record);
      }
      return response(200, "", page.toByteArray());
    }

    private static byte[] json(int status, String body) {
      return response(
          status,
          "Content-Type: application/json\r\n",
          body.getBytes(StandardCharsets.UTF_8));
    }
  }

  // ---------------------------------------------------------------- configuration

  static final String HOST = "ficu95.example";
  static final String SERVICE = "s";

  /** Returns a route of the configuration. */
  static String route(String name, String kind, int timeoutMs, boolean canResume) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
            + "\"service\":\"%s\",\"attempts\":1,\"priority\":0,\"can_resume\":%b}",
        name, HOST, name, kind, timeoutMs, SERVICE, canResume);
  }

  /** Returns the configuration as the operator writes it to the store. */
  static String configuration(long version, int stride, int maxBodyBytes, String... routes) {
    return String.format(
        "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\",\"health_path\":\"/health\","
            + "\"max_conns\":248,\"engine\":{\"slots\":48,\"kv_tokens\":1181151,\"stride\":%d}}],"
            + "\"limits\":{\"max_header_bytes\":32768,\"max_body_bytes\":%d,"
            + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}",
        version, String.join(",", routes), SERVICE, stride, maxBodyBytes);
  }

  // ---------------------------------------------------------------- engine

  /** A sound engine; a case may replace how it answers. */
  static class Engine {
    final String id;
    final String zone;
    final Record record;
    final Listener listener;
    final Map<String, Integer> runs = new HashMap<>();
    final AtomicInteger atWork = new AtomicInteger();
    volatile int events = 10;
    volatile int eventMs = 5;
    volatile int workMs = 20;
    volatile String version = "1.0";
    volatile long born = System.currentTimeMillis();
    private volatile boolean draining;
    private int seq;

    Engine(String id, String zone, Record record) throws IOException {
      this.id = id;
      this.zone = zone;
      this.record = record;
      this.listener = new Listener(0, this::serveOn);
    }

    /** Writes the engine's entry. */
    synchronized void register(Store store, String state) {
      seq++;
      store.put(
          "keyed.servers",
          id,
          String.format(
              "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                  + "\"slots\":48,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}",
              SERVICE, port(), zone, version, state, seq, born));
    }

    /** Writes the entry regularly, as engines do, until the store's map is gone with the process. */
    void heartbeat(Store store, long everyMs) {
      register(store, "ready");
      thread(
          () -> {
            while (true) {
              sleep(everyMs);
              register(store, draining ? "draining" : "ready");
            }
          });
    }

    /** Reports that the engine drains; it goes on serving. */
    void drain(Store store) {
      draining = true;
      register(store, "draining");
    }

    int port() {
      return listener.port();
    }

    void serveOn(Socket channel) throws IOException {
      InputStream in = new BufferedInputStream(channel.getInputStream());
      OutputStream out = channel.getOutputStream();
      while (true) {
        Message request = readHead(in);
        readBody(in, request);
        String target = request.header("X-Target-Instance");
        if (target != null && !target.equals(id)) {
          out.write(response(421, "X-Instance-Id: " + id + "\r\n", new byte[0]));
        } else if (request.path().equals("/-/report") || request.path().equals("/health")) {
          out.write(response(200, "X-Instance-Id: " + id + "\r\n", new byte[0]));
        } else if (!refuse(request, out)) {
          String requestId = request.header("X-Request-Id");
          synchronized (runs) {
            runs.merge(requestId, 1, Integer::sum);
          }
          record.line(
              "engine %s runs %s %s (%d bytes)", id, requestId, request.uri(), request.body.length);
          atWork.incrementAndGet();
          try {
            run(request, channel, in, out);
          } finally {
            atWork.decrementAndGet();
          }
        }
      }
    }

    /** Refuses a request that it has not run; returns whether it did. */
    boolean refuse(Message request, OutputStream out) throws IOException {
      return false;
    }

    String headers(Message request) {
      return "X-Request-Id: "
          + request.header("X-Request-Id")
          + "\r\nX-Server-Seal: seal-"
          + id
          + "\r\nX-Server-Load: "
          + atWork.get()
          + ",0,48\r\n";
    }

    /** Runs a request: a stream if its path holds "stream", otherwise a plain answer. */
    void run(Message request, Socket channel, InputStream in, OutputStream out) throws IOException {
      if (!request.path().contains("stream")) {
        sleep(workMs);
        out.write(response(200, headers(request), ("done by " + id).getBytes()));
        return;
      }
      String last = request.header("Last-Event-Id");
      int next = last == null ? 1 : Integer.parseInt(last) + 1;
      out.write(
          ("HTTP/1.1 200 OK\r\n"
                  + headers(request)
                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes());
      for (; next <= events; next++) {
        sleep(eventMs);
        out.write(chunk("id: " + next + "\ndata: " + version + " event " + next + "\n\n"));
      }
      out.write("0\r\n\r\n".getBytes());
    }

    static byte[] chunk(String text) {
      byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
      return (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
          .getBytes(StandardCharsets.ISO_8859_1);
    }

    int runsOf(String requestId) {
      synchronized (runs) {
        return runs.getOrDefault(requestId, 0);
      }
    }
  }

  // ---------------------------------------------------------------- requester

  /** What a requester saw of one requester attempt. */
  static final class Answer {
    String id;
    /** The status; 0 if the channel ended before a head. */
    int status;

    Message head;
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete;
    String problem = "";
    long tookMs;

    int events() {
      int count = 0;
      for (String line : body.toString(StandardCharsets.ISO_8859_1).split("\n")) {
        count += line.startsWith("id: ") ? 1 : 0;
      }
      return count;
    }

    boolean isSealedSuccess() {
      return status / 100 == 2 && head.header("X-Server-Seal") != null && complete;
    }

    @Override
    public String toString() {
      return String.format(
          "status %d, %s, %d bytes, %d events, %d ms %s",
          status, complete ? "complete" : "incomplete", body.size(), events(), tookMs, problem);
    }
  }

  /** Writes a request on a channel; returns the head as it was sent. */
  static byte[] request(String method, String path, String id, int deadlineMs, String more, int body) {
    return (method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + HOST
            + "\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadlineMs
            + "\r\n"
            + more
            + (body >= 0 ? "Content-Length: " + body + "\r\n" : "")
            + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads an answer until its end. */
  static void read(InputStream in, Answer answer) {
    try {
      answer.head = readHead(in);
      answer.status = answer.head.status();
      if (isChunked(answer.head)) {
        for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
          answer.body.write(chunk);
        }
      } else if (answer.head.header("Content-Length") != null) {
        int length = Integer.parseInt(answer.head.header("Content-Length"));
        answer.body.write(readExactly(in, length));
      }
      answer.complete = true;
    } catch (IOException | RuntimeException e) {
      answer.problem = e.toString();
    }
  }

  /** Sends one requester attempt on a new channel and reads the answer. */
  static Answer send(
      int port, String method, String path, String id, int deadlineMs, String more, byte[] body) {
    Answer answer = new Answer();
    answer.id = id;
    long startedMs = nowMs();
    try (Socket channel = new Socket()) {
      channel.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      channel.setTcpNoDelay(true);
      channel.setSoTimeout(deadlineMs + 1_000);
      OutputStream out = channel.getOutputStream();
      out.write(request(method, path, id, deadlineMs, more, body == null ? -1 : body.length));
      if (body != null) {
        out.write(body);
      }
      read(new BufferedInputStream(channel.getInputStream()), answer);
    } catch (IOException e) {
      answer.problem = e.toString();
    }
    answer.tookMs = nowMs() - startedMs;
    return answer;
  }

  // ---------------------------------------------------------------- machines

  /** A process of the system, started by the command of the deploy file. */
  static final class Machine {
    final String name;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    private final Path settings;
    private final Path log;
    Process process;

    Machine(String name, String zone, Store.Door store, Path folder, List<Machine> others)
        throws IOException {
      this.name = name;
      frontPort = freePort();
      readyPort = freePort();
      controlPort = freePort();
      settings = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
      List<String> seeds = new ArrayList<>();
      seeds.add("\"127.0.0.1:" + controlPort + "\"");
      others.forEach(each -> seeds.add("\"127.0.0.1:" + each.controlPort + "\""));
      Files.writeString(
          settings,
          String.format(
              "{\"node\":\"%s\",\"role\":\"gateway\",\"machine_class\":\"front\","
                  + "\"serves\":[\"front\",\"control\"],\"ip\":\"127.0.0.1\",\"zone\":\"%s\","
                  + "\"region\":\"r\",\"listen\":{\"front\":\"127.0.0.1:%d\","
                  + "\"ready\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"},\"seeds\":[%s],"
                  + "\"bootstrap\":true,\"limits\":{\"memory_mb\":290,\"max_fds\":8200},"
                  + "\"heartbeat_ms\":1200,\"bounds\":{\"config_ms\":2000,\"drain_ms\":2000,"
                  + "\"grace_s\":8},\"provider\":{\"addr\":\"%s\",\"form\":\"log\","
                  + "\"writes_per_s\":800,\"reads_per_s\":2000,\"parts\":12,\"keep_s\":300}}",
              name,
              zone,
              frontPort,
              readyPort,
              controlPort,
              String.join(",", seeds),
              store.address()));
    }

    /** Starts the process; a later start isn't the first one of the whole system. */
    void start() throws IOException {
      if (process != null) {
        String first = Files.readString(settings);
        Files.writeString(settings, first.replace("\"bootstrap\":true", "\"bootstrap\":false"));
      }
      ProcessBuilder builder = new ProcessBuilder(runCommand());
      builder.directory(root().toFile());
      builder.environment().put("MAGNOLIAROUTE_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
    }

    void awaitReady(long timeoutMs) {
      long untilMs = nowMs() + timeoutMs;
      while (send(readyPort, "GET", "/-/ready", "r", 1_000, "", null).status != 200) {
        if (nowMs() > untilMs) {
          throw new IllegalStateException(name + " was not ready within " + timeoutMs + " ms");
        }
        sleep(50);
      }
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Returns the root of the repository. */
  static Path root() {
    return Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
  }

  /** Returns the words of the run line of the deploy file. */
  static List<String> runCommand() throws IOException {
    String deploy = Files.readString(root().resolve("deploy/system.toml"));
    Matcher line = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
    if (!line.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return List.of(line.group(1).split(" "));
  }

  // ---------------------------------------------------------------- a case

  /** A case; returns whether the rule was broken. */
  interface Body {
    boolean run(Context context) throws Exception;
  }

  /** What a case works with. */
  static final class Context {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Record record;
    final Store store = new Store();
    final List<Machine> machines = new ArrayList<>();

    Context(Path caseFolder) throws IOException {
      record = new Record(caseFolder.resolve("record.txt"));
      folder = Files.createTempDirectory("review");
    }

    Machine machine(String name, String zone, Store.Door door) throws IOException {
      Machine machine = new Machine(name, zone, door, folder, machines);
      machines.add(machine);
      return machine;
    }

    void close() {
      machines.stream()
          .filter(each -> each.process != null)
          .forEach(each -> each.process.destroyForcibly());
      for (Machine each : machines) {
        try {
          if (each.process != null) {
            each.process.waitFor(5, TimeUnit.SECONDS);
          }
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      if (System.getenv("KEEP") != null) {
        System.out.println("logs: " + folder);
        return;
      }
      for (File each : folder.toFile().listFiles()) {
        each.delete();
      }
      folder.toFile().delete();
    }
  }

  /** Runs a case and ends with its exit code. */
  static void main(String[] args, Body body) throws IOException {
    Context context = new Context(Path.of(args[0]));
    Runtime.getRuntime().addShutdownHook(new Thread(context::close));
    int code;
    try {
      context.record.say("trouble: %s", context.trouble ? "yes" : "no");
      code = body.run(context) ? BROKEN : HELD;
    } catch (Exception e) {
      context.record.say("could not run: %s", e);
      e.printStackTrace();
      code = NOT_RUN;
    }
    context.record.say(
        code == BROKEN ? "RULE BROKEN" : code == HELD ? "rule held" : "case could not run");
    System.exit(code);
  }
}
