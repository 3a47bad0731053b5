package io.magnoliaroute.daemon.gateway;

import ch.qos.logback.classic.LoggerContext;
import io.magnoliaroute.daemon.lifecycle.SteadyClock;
import io.magnoliaroute.platform.BootSettings;
import io.magnoliaroute.platform.PlatformFormatException;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of a VM that runs with the settings file of the platform. */
public final class PlatformMain {

  private static final String SETTINGS_VARIABLE = "MAGNOLIAROUTE_SETTINGS";
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID_SETTINGS = 3;
  private static final long STOP_MARGIN_MS = 1_000;

  private PlatformMain() {}

  private static Vertx createVertx() {
    return Vertx.vertx(
        new VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setClassPathResolvingEnabled(false)
                    .setFileCachingEnabled(false)));
  }

  /** Starts the VM; the process exits with code 3 if its settings cannot be read. */
  public static void run() {
    BootSettings settings = loadSettingsOrExit();
    Vertx vertx = createVertx();
    InstantSource clock = new SteadyClock(InstantSource.system(), System::nanoTime);
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    vertx.runOnContext(
        run -> {
          GatewayNode node =
              new GatewayNode(vertx, settings, PlatformMain::loadSettings, clock, random);
          handleSignal("HUP", node::reload);
          Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, settings), "stop"));
          node.start()
              .onFailure(
                  e -> {
                    Logger.getLogger(PlatformMain.class).error("VM failed to start", e);
                    Runtime.getRuntime().halt(EXIT_FAILED);
                  });
        });
  }

  private static BootSettings loadSettings() throws IOException, PlatformFormatException {
    String file = System.getenv(SETTINGS_VARIABLE);
    if (file == null) {
      throw new PlatformFormatException(SETTINGS_VARIABLE + " is not set");
    }
    return BootSettings.decode(Files.readAllBytes(Path.of(file)));
  }

  private static BootSettings loadSettingsOrExit() {
    try {
      return loadSettings();
    } catch (IOException | PlatformFormatException e) {
      System.err.println("cannot read the settings: " + e.getMessage());
      System.exit(EXIT_INVALID_SETTINGS);
      throw new IllegalStateException("unreachable", e);
    }
  }

  private static void stop(GatewayNode node, BootSettings settings) {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    node.stop().onComplete(done -> stopped.complete(null));
    try {
      stopped.get(settings.stopGracePeriodMs() + STOP_MARGIN_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Logger.getLogger(PlatformMain.class).error("graceful shutdown failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    flushLogs();
    Runtime.getRuntime().halt(0);
  }

  // Stopping the context writes the lines still in the asynchronous queue, which halt would drop.
  private static void flushLogs() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }

  // sun.misc.Signal is not part of the Java SE API, hence the reflection. Without a handler, the
  // signal would terminate the process.
  private static void handleSignal(String name, Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      InvocationHandler call =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              PlatformMain.class.getClassLoader(), new Class<?>[] {handlerClass}, call);
      Object signal = signalClass.getConstructor(String.class).newInstance(name);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      Logger.getLogger(PlatformMain.class).warnf(e, "cannot install a handler for signal %s", name);
    }
  }
}
