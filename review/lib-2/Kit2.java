import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
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
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins of the store, of engines and of clients, and VMs as processes; JDK only. */
final class Kit2 {

  static final String HOST = "ficu95.example";
  static final String STREAMS = "models";
  static final String APP = "app";

  /** Partitions of a topic, as the settings of the VMs state it. */
  static int parts = 12;

  private static final int BROKEN = 10;
  private static final java.util.Random RANDOM = new java.util.Random();
  private static final java.util.Set<Integer> PORTS = new java.util.HashSet<>();
  private static final long START_NS = System.nanoTime();
  private static PrintWriter record;
  private static Path directory;
  private static final List<Vm> VMS = Collections.synchronizedList(new ArrayList<>());
  private static final List<ServerSocket> LISTENERS =
      Collections.synchronizedList(new ArrayList<>());

  private Kit2() {}

  static long nowMs() {
    return (System.nanoTime() - START_NS) / 1_000_000;
  }

  /** Writes one line with the time since the start to record.txt. */
  static synchronized void note(String line) {
    record.printf("%7d %s%n", nowMs(), line);
    record.flush();
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** The check of a case; returns whether the rule held. */
  interface Check {
    boolean run() throws Exception;
  }

  /**
   * Runs a case; exits with 0 if the rule held, 10 if it was broken, 2 if the case couldn't run. The
   * scripts turn 10 into 1, with which a Java runtime ends if it can't start.
   */
  static void main(String name, Check check) throws Exception {
    Path folder = Path.of(System.getenv().getOrDefault("CASE_DIR", "."));
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    directory = Files.createTempDirectory("review-2-");
    int exit = 2;
    Thread limit =
        new Thread(
            () -> {
              sleep(112_000);
              note("RESULT could not run: time limit");
              killAll();
              Runtime.getRuntime().halt(2);
            });
    limit.setDaemon(true);
    limit.start();
    Runtime.getRuntime().addShutdownHook(new Thread(Kit2::killAll));
    try {
      note("case " + name + ", disruption " + (trouble() ? "on" : "off"));
      exit = check.run() ? 0 : BROKEN;
      note("RESULT " + (exit == 0 ? "rule held" : "rule broken"));
    } catch (Exception | AssertionError e) {
      note("RESULT could not run: " + e);
      e.printStackTrace();
    } finally {
      killAll();
      deleteDirectory();
    }
    System.out.println(name + ": exit " + exit);
    System.exit(exit);
  }

  private static void killAll() {
    synchronized (VMS) {
      for (Vm vm : VMS) {
        if (vm.process != null) {
          vm.process.destroyForcibly();
        }
      }
    }
  }

  private static void deleteDirectory() throws IOException {
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      System.out.println("logs: " + directory);
      return;
    }
    try (var files = Files.walk(directory)) {
      for (Path file : files.sorted(Collections.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  // Ports below those that the kernel gives to outgoing connections, which many runs at once use up.
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      int port = 15_000 + RANDOM.nextInt(15_000);
      if (PORTS.add(port)) {
        try (ServerSocket socket =
            new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return socket.getLocalPort();
        } catch (java.net.BindException e) {
          // Another process has it.
        }
      }
    }
    throw new IOException("no free port");
  }

  // ---------------------------------------------------------------- HTTP

  /** A request or a response as received. */
  static final class Message {
    String first;
    final Map<String, String> headers = new HashMap<>();
    byte[] body = new byte[0];
    boolean complete;

    int status() {
      return first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        throw new EOFException("end inside a line");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end inside a body");
    }
    return bytes;
  }

  /** Reads one message; null at the end of the connection before its first byte. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    in.mark(1);
    if (in.read() < 0) {
      return null;
    }
    in.reset();
    Message message = new Message();
    message.first = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
        for (; ; ) {
          int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
          if (length == 0) {
            while (!readLine(in).isEmpty()) {}
            break;
          }
          body.write(readExactly(in, length));
          readLine(in);
        }
      } else if (message.header("content-length") != null) {
        body.write(readExactly(in, Integer.parseInt(message.header("content-length"))));
      } else if (isResponse) {
        in.transferTo(body);
      }
      message.complete = true;
    } catch (IOException e) {
      message.complete = false;
    }
    message.body = body.toByteArray();
    return message;
  }

  private static byte[] response(int status, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = Arrays.copyOf(headBytes, headBytes.length + body.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    return all;
  }

  private interface Handler {
    /** Handles a request; returns whether the connection goes on. */
    boolean handle(Message request, OutputStream out) throws Exception;
  }

  private static int listen(Handler handler) throws IOException {
    ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    LISTENERS.add(listener);
    daemon(
        () -> {
          for (; ; ) {
            Socket socket;
            try {
              socket = listener.accept();
            } catch (IOException e) {
              return;
            }
            daemon(() -> serve(socket, handler));
          }
        });
    return listener.getLocalPort();
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "t", 262_144);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void serve(Socket socket, Handler handler) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Message request = read(in, false); request != null; request = read(in, false)) {
        if (!request.complete || !handler.handle(request, out)) {
          return;
        }
      }
    } catch (Exception e) {
      // The other side has closed the connection.
    }
  }

  // ---------------------------------------------------------------- store

  /** The platform's store: its log with the calls append, read and newest. */
  static final class Store {
    private static final int RECORD_BYTES = 262_144;

    final int port;
    private final Map<String, List<byte[]>> partitions = new HashMap<>();
    private boolean silent;

    Store() throws IOException {
      port = listen(this::handle);
    }

    /** While silent, the store answers no call and does nothing for it. */
    synchronized void setSilent(boolean newSilent) {
      silent = newSilent;
      notifyAll();
      note("store " + (newSilent ? "silent" : "answers again"));
    }

    synchronized boolean isSilent() {
      return silent;
    }

    /** Writes a keyed record, as the operator and the engines do. */
    synchronized boolean put(String topic, String key, String value) {
      if (silent) {
        return false;
      }
      byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
      byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
      byte[] content = new byte[1 + keyBytes.length + valueBytes.length];
      content[0] = (byte) keyBytes.length;
      System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
      System.arraycopy(valueBytes, 0, content, 1 + keyBytes.length, valueBytes.length);
      partition(topic, "0").add(content);
      notifyAll();
      return true;
    }

    private static String keyOf(byte[] content) {
      return new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
    }

    private List<byte[]> partition(String topic, String part) {
      return partitions.computeIfAbsent(topic + "/" + part, name -> new ArrayList<>());
    }

    private boolean handle(Message request, OutputStream out) throws Exception {
      String target = request.first.split(" ")[1];
      int mark = target.indexOf('?');
      String path = mark < 0 ? target : target.substring(0, mark);
      Map<String, String> query = new HashMap<>();
      for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      byte[] answer = isSilent() ? null : answer(path, query, request.body);
      if (answer == null) {
        // A connection on which a response is lost returns nothing further.
        for (; ; ) {
          sleep(60_000);
        }
      }
      sleep(4);
      out.write(answer);
      out.flush();
      return true;
    }

    private byte[] answer(String path, Map<String, String> query, byte[] body) throws Exception {
      return switch (path) {
        case "/-/log-append" -> append(query, body);
        case "/-/log-newest" -> newest(query);
        case "/-/log-read" -> read(query);
        default -> response(404, Map.of(), new byte[0]);
      };
    }

    private synchronized byte[] append(Map<String, String> query, byte[] body) {
      List<byte[]> partition = partition(query.get("topic"), query.get("part"));
      String at = query.get("at");
      if (at != null && Long.parseLong(at) != partition.size()) {
        return json(412, "{\"end\":" + partition.size() + "}");
      }
      int offset = partition.size();
      java.nio.ByteBuffer records = java.nio.ByteBuffer.wrap(body);
      // Records of a call are appended all or nothing, and a record has at most record_bytes.
      for (int start = 0; start + 4 <= body.length; start += 4 + records.getInt(start)) {
        if (records.getInt(start) > RECORD_BYTES) {
          return json(400, "{\"error\":\"record_bytes\"}");
        }
      }
      while (records.remaining() >= 4) {
        byte[] content = new byte[records.getInt()];
        records.get(content);
        partition.add(content);
      }
      notifyAll();
      return json(200, "{\"offset\":" + offset + ",\"end\":" + partition.size() + "}");
    }

    private synchronized byte[] newest(Map<String, String> query) {
      List<byte[]> partition = partition(query.get("topic"), query.get("part"));
      TreeMap<String, String> items = new TreeMap<>();
      for (int offset = 0; offset < partition.size(); offset++) {
        byte[] content = partition.get(offset);
        String key = keyOf(content);
        int start = 1 + (content[0] & 0xff);
        if (content.length == start) {
          items.remove(key);
        } else {
          byte[] value = Arrays.copyOfRange(content, start, content.length);
          items.put(
              key,
              "{\"key\":"
                  + quote(key)
                  + ",\"value\":\""
                  + Base64.getEncoder().encodeToString(value)
                  + "\",\"offset\":"
                  + offset
                  + "}");
        }
      }
      String after = query.get("after");
      List<String> page =
          (after == null ? items : items.tailMap(after, false)).values().stream().toList();
      boolean more = page.size() > 500;
      return json(
          200,
          "{\"items\":["
              + String.join(",", more ? page.subList(0, 500) : page)
              + "],\"has_more\":"
              + more
              + ",\"end\":"
              + partition.size()
              + "}");
    }

    private synchronized byte[] read(Map<String, String> query) throws Exception {
      List<byte[]> partition = partition(query.get("topic"), query.get("part"));
      int from = Integer.parseInt(query.get("from"));
      long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      while (partition.size() <= from && nowMs() < untilMs && !silent) {
        wait(Math.max(1, untilMs - nowMs()));
      }
      if (silent) {
        return null;
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream page = new DataOutputStream(bytes);
      page.writeLong(partition.size());
      page.writeLong(0);
      for (int offset = from; offset < partition.size() && bytes.size() < 1_000_000; offset++) {
        page.writeInt(partition.get(offset).length);
        page.write(partition.get(offset));
      }
      return response(200, Map.of("Content-Type", "application/octet-stream"), bytes.toByteArray());
    }

    private static byte[] json(int status, String text) {
      return response(
          status,
          Map.of("Content-Type", "application/json"),
          text.getBytes(StandardCharsets.UTF_8));
    }
  }

  static String quote(String text) {
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  // ---------------------------------------------------------------- engines

  /** A sound engine: serves streams and plain requests, and keeps its entry in the store fresh. */
  static final class Engine {
    private static final int PLAIN_BYTES = 800;

    final String id;
    final int port;
    final String service;
    final String zone;
    final int slots;
    volatile int events = 6;
    volatile int gapMs = 5;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    final List<String> runs = Collections.synchronizedList(new ArrayList<>());
    private int seq;

    Engine(Store store, String id, String service, String zone) throws IOException {
      this(store, id, service, zone, 8);
    }

    Engine(Store store, String id, String service, String zone, int slots) throws IOException {
      this.id = id;
      this.slots = slots;
      this.service = service;
      this.zone = zone;
      this.port = listen(this::handle);
      store.put("keyed.servers", id, entry());
      daemon(
          () -> {
            for (; ; ) {
              sleep(1_200);
              store.put("keyed.servers", id, entry());
            }
          });
    }

    private synchronized String entry() {
      return "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}"
          .formatted(service, port, zone, slots, ++seq, born);
    }

    private String load() {
      return running.get() + ",0," + slots + ",100";
    }

    /** Returns the number of requests that run at present. */
    int running() {
      return running.get();
    }

    private boolean handle(Message request, OutputStream out) throws Exception {
      String[] line = request.first.split(" ");
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("X-Server-Load", load());
      headers.put("Keep-Alive", "timeout=15");
      if (line[1].equals("/health")) {
        headers.put("X-Instance-Id", id);
        out.write(response(200, headers, new byte[0]));
        return true;
      }
      if (line[1].startsWith("/-/report")) {
        headers.put("Content-Type", "application/json");
        String report =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":"
                + running.get()
                + ",\"kv_used\":0,\"kv_total\":500000,\"handles\":0,\"runs\":[]}";
        out.write(response(200, headers, report.getBytes(StandardCharsets.UTF_8)));
        return true;
      }
      if (line[1].startsWith("/-/")) {
        out.write(response(404, headers, new byte[0]));
        return true;
      }
      String requestId = request.header("x-request-id");
      if (requestId != null) {
        headers.put("X-Request-Id", requestId);
      }
      String target = request.header("x-target-instance");
      if (target != null && !target.equals(id)) {
        out.write(response(421, headers, new byte[0]));
        return true;
      }
      if (requestId == null) {
        headers.put("X-Not-Run", "1");
        out.write(response(400, headers, new byte[0]));
        return true;
      }
      runs.add(requestId);
      running.incrementAndGet();
      try {
        headers.put("X-Server-Seal", "seal." + id + "." + requestId);
        if (line[1].startsWith("/stream/") || line[1].startsWith("/kept/")) {
          return sendStream(request, headers, out);
        }
        sleep(20);
        byte[] body = new byte[PLAIN_BYTES];
        Arrays.fill(body, (byte) 'b');
        out.write(response(200, headers, body));
        return true;
      } finally {
        running.decrementAndGet();
      }
    }

    private boolean sendStream(Message request, Map<String, String> headers, OutputStream out)
        throws Exception {
      String last = request.header("last-event-id");
      StringBuilder head = new StringBuilder("HTTP/1.1 200 X\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      for (int number = last == null ? 1 : Integer.parseInt(last) + 1; number <= events; number++) {
        sleep(gapMs);
        byte[] event =
            ("id: " + number + "\ndata: piece " + number + "\n\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(event);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
      return true;
    }
  }

  /** The configuration that the operator writes. */
  static String configuration(int version) {
    return configuration(version, 10, 60);
  }

  static String configuration(int version, int stride, int keepS) {
    String common = "\"host\":\"" + HOST + "\",\"priority\":0,";
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + "{\"name\":\"r-safe\","
        + common
        + "\"path_prefix\":\"/safe/\",\"service\":\"app\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":150,\"attempts\":2},"
        + "{\"name\":\"r-unsafe\","
        + common
        + "\"path_prefix\":\"/unsafe/\",\"service\":\"app\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"attempts\":1},"
        + "{\"name\":\"r-stream\","
        + common
        + "\"path_prefix\":\"/stream/\",\"service\":\"models\",\"kind\":\"stream\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"attempts\":2,\"can_resume\":true,\"sticky\":true,\"gap_aim_ms\":400,\"server_history\":false,\"keep_s\":"
        + keepS
        + "},"
        + "{\"name\":\"r-kept\","
        + common
        + "\"path_prefix\":\"/kept/\",\"service\":\"models\",\"kind\":\"stream\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"attempts\":2,\"can_resume\":false,\"sticky\":true,\"gap_aim_ms\":400,\"server_history\":true,\"keep_s\":"
        + keepS
        + "}],\"services\":["
        + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":600},"
        + "{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":600,\"engine\":{\"slots\":8,\"kv_tokens\":500000,\"stride\":"
        + stride
        + "}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  // ---------------------------------------------------------------- VMs

  /** One machine with the project's program, started by the command of the deploy file. */
  static final class Vm {
    final String name;
    final String zone;
    final int front;
    final int ready;
    final int control;
    final int memoryMb;
    private final Store store;
    private final List<Vm> seeds;
    Process process;
    private int starts;

    Vm(Store store, String name, String zone, List<Vm> seeds, int memoryMb) throws IOException {
      this.store = store;
      this.name = name;
      this.zone = zone;
      this.seeds = seeds;
      this.memoryMb = memoryMb;
      front = freePort();
      ready = freePort();
      control = freePort();
      VMS.add(this);
    }

    void start() throws IOException {
      boolean first = starts++ == 0;
      StringBuilder seedList = new StringBuilder();
      for (Vm seed : seeds.subList(0, Math.min(3, seeds.size()))) {
        seedList.append(seedList.length() == 0 ? "" : ",").append("\"127.0.0.1:" + seed.control + "\"");
      }
      String settings =
          "{\"node\":\"%s\",\"role\":\"gateway\",\"machine_class\":\"front\",\"serves\":[\"front\",\"control\"],\"ip\":\"127.0.0.1\",\"zone\":\"%s\",\"region\":\"r\",\"zones\":{\"za\":\"r\",\"zb\":\"r\"},"
                  .formatted(name, zone)
              + "\"listen\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"},"
                  .formatted(front, ready, control)
              + "\"seeds\":["
              + seedList
              + "],\"bootstrap\":"
              + first
              + ",\"in_tolerance\":true,\"limits\":{\"cpu_share\":0.75,\"cpus\":2,\"memory_mb\":"
              + memoryMb
              + ",\"max_fds\":8200,\"link_mbps\":420.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,"
              + "\"fault_tolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},"
              + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":4000,\"ack_ms\":6000,\"catch_up_s\":6,\"drain_ms\":3000,\"grace_s\":8,\"lost_slack_ms\":200,\"config_ms\":3000,\"rollback_slack_ms\":250,\"skew_max_ms\":6000,\"recover_s\":15,\"pass_ms\":200,\"again_s\":0,\"finish_s\":10,\"settle_ms\":1000},"
              + "\"provider\":{\"addr\":\"127.0.0.1:"
              + store.port
              + "\",\"form\":\"log\",\"writes_per_s\":800,\"reads_per_s\":2000,\"parts\":"
              + parts
              + ",\"append_ms\":2.0,\"part_mb_s\":20.0,\"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}";
      Path file = directory.resolve(name + ".json");
      Files.writeString(file, settings);
      ProcessBuilder builder = new ProcessBuilder(runCommand());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("MAGNOLIAROUTE_SETTINGS", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = builder.start();
      note("start " + name + " pid " + process.pid() + (first ? "" : " (again)"));
    }

    private static List<String> runCommand() throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
      }
      throw new IOException("no run line in deploy/system.toml");
    }

    Path log() {
      return directory.resolve(name + ".log");
    }

    void kill() {
      note("SIGKILL " + name);
      process.destroyForcibly();
    }

    void awaitEnd() throws InterruptedException {
      process.waitFor(5, TimeUnit.SECONDS);
    }

    boolean isReady() {
      try {
        return call(ready, "GET", "/-/ready", Map.of(), "", 1_000).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady(long limitMs) {
      long untilMs = nowMs() + limitMs;
      while (!isReady()) {
        if (nowMs() > untilMs) {
          throw new IllegalStateException(name + " is not ready");
        }
        sleep(50);
      }
      note(name + " ready");
    }

    long memoryPeakKb() {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith("VmHWM:")) {
            return Long.parseLong(line.replaceAll("[^0-9]", ""));
          }
        }
      } catch (IOException e) {
        // The process has ended.
      }
      return 0;
    }
  }

  static void awaitReady(List<Vm> vms) {
    for (Vm vm : vms) {
      vm.awaitReady(30_000);
    }
  }

  // ---------------------------------------------------------------- clients

  /** Sends one request on a connection of its own; status 0 if no answer came. */
  static Message call(
      int port, String method, String path, Map<String, String> headers, String body, int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(timeoutMs);
      socket.setTcpNoDelay(true);
      byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      head.append("Host: " + HOST + "\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + bodyBytes.length + "\r\n\r\n");
      OutputStream out = socket.getOutputStream();
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.write(bodyBytes);
      out.flush();
      Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
      if (answer == null) {
        throw new EOFException("closed without an answer");
      }
      return answer;
    }
  }

  /** A client's request, recorded with its answer; an answer without a first line has status 0. */
  static Message request(
      Vm vm, String method, String path, Map<String, String> headers, String body, int timeoutMs) {
    long startMs = nowMs();
    Message answer = new Message();
    String problem = "";
    try {
      answer = call(vm.front, method, path, headers, body, timeoutMs);
    } catch (IOException e) {
      problem = " " + e;
    }
    String text = answer.text().strip();
    note(
        "%s %s %s id=%s program=%s previous=%s -> %d %s in %d ms%s%s"
            .formatted(
                vm.name,
                method,
                path,
                shorten(headers.get("X-Request-Id")),
                shorten(headers.get("X-Program-Id")),
                shorten(headers.get("X-Previous-Turn")),
                answer.status(),
                answer.complete ? "whole" : "not whole",
                nowMs() - startMs,
                answer.status() == 200 ? "" : " '" + shorten(text) + "'",
                problem));
    return answer;
  }

  static String shorten(String text) {
    if (text == null) {
      return "-";
    }
    return text.length() > 60 ? text.substring(0, 20) + "...(" + text.length() + ")" : text;
  }
}
