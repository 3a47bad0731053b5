package io.magnoliaroute.daemon.support;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.DaemonMain;
import io.magnoliaroute.daemon.http.Authenticator;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon that runs in a separate process. */
public final class DaemonProcess implements AutoCloseable {

  private static final long EXIT_TIMEOUT_S = 20;

  private final Process process;
  private final int httpPort;

  /** The VM name and the peer port of a daemon to start. */
  public record Spec(String vm, int peerPort) {}

  private DaemonProcess(Process process, int httpPort) {
    this.process = process;
    this.httpPort = httpPort;
  }

  /** Assigns a currently free peer port to each VM. */
  public static List<Spec> allocatePorts(String... vms) {
    List<Spec> specs = new ArrayList<>();
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (String vm : vms) {
        ServerSocket socket = new ServerSocket(0);
        sockets.add(socket);
        specs.add(new Spec(vm, socket.getLocalPort()));
      }
      for (ServerSocket socket : sockets) {
        socket.close();
      }
      return specs;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts a daemon and returns once clients can connect. */
  public static DaemonProcess start(Spec spec, List<Spec> allSpecs, HostPort log, Path directory) {
    try {
      Path settings = directory.resolve(spec.vm() + ".yaml");
      Files.writeString(settings, settingsYaml(spec, allSpecs, log));
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-Xmx256m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  DaemonMain.class.getName(),
                  "--settings",
                  settings.toString())
              .redirectError(directory.resolve(spec.vm() + ".err").toFile())
              .start();
      BufferedReader out = new BufferedReader(process.inputReader(StandardCharsets.UTF_8));
      String line = out.readLine();
      if (line == null) {
        throw new AssertionError(Files.readString(directory.resolve(spec.vm() + ".err")));
      }
      return new DaemonProcess(process, Integer.parseInt(line.split(" ", -1)[1]));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a client of the team "shop" for this daemon. */
  public DaemonClient shopClient() {
    return new DaemonClient(httpPort, DaemonTestEnvironment.SHOP_TOKEN);
  }

  /** Returns an operator's client for this daemon. */
  public DaemonClient operatorClient() {
    return new DaemonClient(httpPort, DaemonTestEnvironment.OPERATOR_TOKEN);
  }

  /** Kills the process immediately and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Requests a graceful shutdown and returns the exit code of the process. */
  public int terminate() {
    process.destroy();
    return awaitExit();
  }

  /** Sends a signal such as STOP or CONT to the process. */
  public void sendSignal(String name) {
    try {
      Process killCommand =
          new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
      if (!killCommand.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS) || killCommand.exitValue() != 0) {
        throw new AssertionError("signal " + name + " could not be sent");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting for a process", e);
    }
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      process.destroyForcibly();
      awaitExit();
    }
  }

  private int awaitExit() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new AssertionError("the process did not exit in time");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting for a process", e);
    }
  }

  private static String settingsYaml(Spec spec, List<Spec> allSpecs, HostPort log) {
    StringBuilder yaml = new StringBuilder();
    yaml.append("vm: ").append(spec.vm()).append('\n');
    yaml.append("data_centre: natal\nregion: north\n");
    yaml.append("http_listen: 127.0.0.1:0\n");
    yaml.append("peer_listen: 127.0.0.1:").append(spec.peerPort()).append('\n');
    yaml.append("log: ").append(log).append('\n');
    yaml.append("partitions: ").append(DaemonTestEnvironment.PARTITIONS).append('\n');
    yaml.append("peer_secret: ").append(DaemonTestEnvironment.PEER_SECRET).append('\n');
    yaml.append("operator_token_hashes: [")
        .append(Authenticator.hashToken(DaemonTestEnvironment.OPERATOR_TOKEN))
        .append("]\npeers:\n");
    for (Spec peer : allSpecs) {
      if (!peer.equals(spec)) {
        yaml.append("  - vm: ").append(peer.vm()).append('\n');
        yaml.append("    data_centre: natal\n    address: 127.0.0.1:");
        yaml.append(peer.peerPort()).append('\n');
      }
    }
    return yaml.toString();
  }
}
