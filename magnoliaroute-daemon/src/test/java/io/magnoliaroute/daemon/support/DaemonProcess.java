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

/** A daemon in a process of its own. */
public final class DaemonProcess implements AutoCloseable {

  private static final long EXIT_DEADLINE_S = 20;

  private final Process process;
  private final int httpPort;

  /** The name and peer port of a daemon that is to be started. */
  public record Plan(String vm, int peerPort) {}

  private DaemonProcess(Process process, int httpPort) {
    this.process = process;
    this.httpPort = httpPort;
  }

  /** Chooses peer ports that are free now. */
  public static List<Plan> plan(String... vms) {
    List<Plan> plans = new ArrayList<>();
    List<ServerSocket> held = new ArrayList<>();
    try {
      for (String vm : vms) {
        ServerSocket socket = new ServerSocket(0);
        held.add(socket);
        plans.add(new Plan(vm, socket.getLocalPort()));
      }
      for (ServerSocket socket : held) {
        socket.close();
      }
      return plans;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts the daemon of the plan and returns when callers can connect. */
  public static DaemonProcess start(Plan plan, List<Plan> all, HostPort log, Path directory) {
    try {
      Path settings = directory.resolve(plan.vm() + ".yaml");
      Files.writeString(settings, yaml(plan, all, log));
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-Xmx256m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  DaemonMain.class.getName(),
                  "--settings",
                  settings.toString())
              .redirectError(directory.resolve(plan.vm() + ".err").toFile())
              .start();
      BufferedReader out = new BufferedReader(process.inputReader(StandardCharsets.UTF_8));
      String line = out.readLine();
      if (line == null) {
        throw new AssertionError(Files.readString(directory.resolve(plan.vm() + ".err")));
      }
      return new DaemonProcess(process, Integer.parseInt(line.split(" ", -1)[1]));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a caller of the team "shop" at this daemon. */
  public Caller caller() {
    return new Caller(httpPort, TestWorld.TOKEN);
  }

  /** Returns an operator at this daemon. */
  public Caller operator() {
    return new Caller(httpPort, TestWorld.OPERATOR_TOKEN);
  }

  /** Kills the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Asks the process to stop as planned and returns its exit code. */
  public int terminate() {
    process.destroy();
    return awaitExit();
  }

  /** Sends a signal such as STOP or CONT to the process. */
  public void signal(String name) {
    try {
      Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
      if (!kill.waitFor(EXIT_DEADLINE_S, TimeUnit.SECONDS) || kill.exitValue() != 0) {
        throw new AssertionError("signal " + name + " was not sent");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
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
      if (!process.waitFor(EXIT_DEADLINE_S, TimeUnit.SECONDS)) {
        throw new AssertionError("the process did not exit");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  private static String yaml(Plan plan, List<Plan> all, HostPort log) {
    StringBuilder yaml = new StringBuilder();
    yaml.append("vm: ").append(plan.vm()).append('\n');
    yaml.append("data_centre: natal\nregion: north\n");
    yaml.append("http_listen: 127.0.0.1:0\n");
    yaml.append("peer_listen: 127.0.0.1:").append(plan.peerPort()).append('\n');
    yaml.append("log: ").append(log).append('\n');
    yaml.append("partitions: ").append(TestWorld.PARTITIONS).append('\n');
    yaml.append("peer_secret: ").append(TestWorld.SECRET).append('\n');
    yaml.append("operator_token_hashes: [")
        .append(Authenticator.hash(TestWorld.OPERATOR_TOKEN))
        .append("]\npeers:\n");
    for (Plan peer : all) {
      if (!peer.equals(plan)) {
        yaml.append("  - vm: ").append(peer.vm()).append('\n');
        yaml.append("    data_centre: natal\n    address: 127.0.0.1:");
        yaml.append(peer.peerPort()).append('\n');
      }
    }
    return yaml.toString();
  }
}
