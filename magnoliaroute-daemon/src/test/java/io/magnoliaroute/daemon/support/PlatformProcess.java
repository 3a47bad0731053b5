package io.magnoliaroute.daemon.support;

import io.magnoliaroute.daemon.DaemonMain;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A VM that runs in a separate process, with the Java options of the deploy file. */
public final class PlatformProcess implements AutoCloseable {

  private static final Path DEPLOY_FILE = Path.of("../deploy/system.toml");
  private static final Pattern RUN_LINE =
      Pattern.compile("(?m)^run = \"java (.*?) -jar \\S+ (.*)\"$");
  private static final Pattern OUT_OF_MEMORY =
      Pattern.compile("(?m)^.*OutOf(Direct)?MemoryError.*$");
  private static final Pattern PEAK_MEMORY = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$");
  private static final long EXIT_TIMEOUT_S = 20;

  private final Process process;
  private final Path output;
  private final int clientPort;
  private final int readyPort;
  private final int peerPort;

  private PlatformProcess(
      Process process, Path output, int clientPort, int readyPort, int peerPort) {
    this.process = process;
    this.output = output;
    this.clientPort = clientPort;
    this.readyPort = readyPort;
    this.peerPort = peerPort;
  }

  /**
   * The limits of the machine that the process runs on.
   *
   * @param memoryMb limit of the resident memory, in MiB
   * @param maxFds limit of open descriptors; the kernel enforces it
   */
  public record Limits(int memoryMb, int maxFds) {}

  /** Starts a VM that uses the store on the given port; it may not be ready yet on return. */
  public static PlatformProcess start(Path directory, Limits limits, int storePort)
      throws IOException {
    int clientPort = freePort();
    int readyPort = freePort();
    int peerPort = freePort();
    Path settings = directory.resolve("boot.json");
    Files.writeString(
        settings,
        """
        {"node": "vm-1", "zone": "dc", "bootstrap": true,
         "listen": {"front": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "control": "127.0.0.1:%d"},
         "provider": {"addr": "127.0.0.1:%d", "parts": 2},
         "limits": {"memory_mb": %d, "max_fds": %d},
         "bounds": {"grace_s": 1}}
        """
            .formatted(
                clientPort, readyPort, peerPort, storePort, limits.memoryMb(), limits.maxFds()));
    Path output = directory.resolve("output.txt");
    ProcessBuilder builder = new ProcessBuilder(command(limits));
    builder.environment().put("MAGNOLIAROUTE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(output.toFile());
    return new PlatformProcess(builder.start(), output, clientPort, readyPort, peerPort);
  }

  // The class archive belongs to the packaged jar, so its options are left out.
  private static List<String> command(Limits limits) throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(DEPLOY_FILE));
    if (!run.find()) {
      throw new AssertionError(DEPLOY_FILE + " has no run line with a jar");
    }
    List<String> command =
        new ArrayList<>(
            List.of("sh", "-c", "ulimit -n " + limits.maxFds() + " && exec \"$@\"", "sh"));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    Stream.of(run.group(1).split(" "))
        .filter(option -> !option.contains("Archive") && !option.startsWith("-Xshare"))
        .forEach(command::add);
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(DaemonMain.class.getName());
    command.addAll(List.of(run.group(2).split(" ")));
    return command;
  }

  // The settings of a VM name its ports before it listens.
  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the port for clients. */
  public int clientPort() {
    return clientPort;
  }

  /** Returns the port of the readiness check. */
  public int readyPort() {
    return readyPort;
  }

  /** Returns the port for other VMs. */
  public int peerPort() {
    return peerPort;
  }

  /** Returns whether the process has not ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the largest resident memory so far, in KiB. */
  public long peakMemoryKb() throws IOException {
    Matcher peak = PEAK_MEMORY.matcher(Files.readString(procFile("status")));
    if (!peak.find()) {
      throw new AssertionError("no VmHWM of process " + process.pid());
    }
    return Long.parseLong(peak.group(1));
  }

  /** Returns the number of open descriptors. */
  public int openFds() throws IOException {
    try (Stream<Path> descriptors = Files.list(procFile("fd"))) {
      return (int) descriptors.count();
    }
  }

  /** Returns the lines of the output that report a lack of memory. */
  public List<String> outOfMemoryLines() throws IOException {
    return OUT_OF_MEMORY
        .matcher(Files.readString(output, StandardCharsets.ISO_8859_1))
        .results()
        .map(line -> line.group())
        .limit(3)
        .toList();
  }

  private Path procFile(String name) {
    return Path.of("/proc", String.valueOf(process.pid()), name);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new AssertionError("process " + process.pid() + " did not exit in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
