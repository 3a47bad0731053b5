import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/**
 * An engine is replaced by one of a new software version. One machine's open channels to the store
 * have gone silent, so that it doesn't know the new engine yet. The new engine crashes, and the
 * streams that it began are taken up at that machine. The rule ORDER allows no more than two
 * streams with events of two software versions.
 */
public final class MixedVersions {
  private static final int STREAMS = 8;
  private static final int EVENTS = 40;
  private static final int EVENT_MS = 50;

  // Times since the channels fell silent.
  private static final int ADDED_MS = 50;
  private static final int DRAINING_MS = 250;
  private static final int BEGIN_MS = 1_250;
  private static final int CRASH_MS = 1_550;
  private static final int RESUME_MS = 1_700;

  public static void main(String[] args) throws Exception {
    Kit.main(args, MixedVersions::run);
  }

  private static boolean run(Kit.Context context) throws Exception {
    // TROUBLE=crash: the engine crashes, but no channel goes silent.
    boolean silence = context.trouble && !"crash".equals(System.getenv("TROUBLE"));
    context.store.put(
        "keyed.op",
        "config",
        Kit.configuration(1, 10, 4_194_304, Kit.route("stream", "stream", 4_000, true)));
    Kit.Engine old = new Kit.Engine("e1", "z1", context.record);
    old.version = "1.0";
    old.eventMs = EVENT_MS;
    old.heartbeat(context.store, 1_200);
    Kit.Store.Door secondDoor = context.store.door();
    Kit.Machine first = context.machine("front-1", "z1", context.store.door());
    Kit.Machine second = context.machine("front-2", "z1", secondDoor);
    first.start();
    second.start();
    first.awaitReady(30_000);
    second.awaitReady(30_000);
    Kit.sleep(3_000);
    serveUsualStreams(old, first, second);
    old.events = EVENTS;

    awaitListRead(secondDoor);
    long startMs = Kit.nowMs();
    if (silence) {
      secondDoor.silenceOpenChannels();
      context.record.say("the open channels of front-2 to the store go silent");
    }
    sleepUntil(startMs + ADDED_MS);
    Kit.Engine added = new Kit.Engine("e2", "z1", context.record);
    added.version = "2.0";
    added.events = EVENTS;
    added.eventMs = EVENT_MS;
    added.register(context.store, "ready");
    context.record.say("engine e2 of version 2.0 is ready");
    sleepUntil(startMs + DRAINING_MS);
    old.drain(context.store);
    context.record.say("engine e1 of version 1.0 is draining");

    sleepUntil(startMs + BEGIN_MS);
    List<Kit.Answer> begun = new ArrayList<>();
    CountDownLatch ended = new CountDownLatch(STREAMS);
    for (int each = 1; each <= STREAMS; each++) {
      String id = "stream-" + each;
      Kit.thread(
          () -> {
            Kit.Answer answer =
                Kit.send(first.frontPort, "POST", "/stream/a", id, 4_000, more(), body());
            synchronized (begun) {
              begun.add(answer);
            }
            ended.countDown();
          });
    }
    sleepUntil(startMs + CRASH_MS);
    if (context.trouble) {
      context.record.say("engine e2 crashes");
      added.listener.close();
    }
    ended.await();
    sleepUntil(startMs + RESUME_MS);
    List<Set<String>> versions = new ArrayList<>();
    CountDownLatch resumed = new CountDownLatch(begun.size());
    for (Kit.Answer answer : begun) {
      context.record.line(
          "%s at front-1: %s; versions %s", answer.id, answer, versions(answer));
      Kit.thread(
          () -> {
            Set<String> all = new HashSet<>(versions(answer));
            if (!answer.complete && answer.events() > 0) {
              Kit.Answer next = takeUp(second, answer);
              context.record.line(
                  "%s taken up at front-2: %s; versions %s", answer.id, next, versions(next));
              all.addAll(versions(next));
            }
            synchronized (versions) {
              versions.add(all);
            }
            resumed.countDown();
          });
    }
    resumed.await();
    long mixed = versions.stream().filter(each -> each.size() > 1).count();
    context.record.say("%d of %d streams hold events of two versions", mixed, STREAMS);
    return mixed > 2;
  }

  private static Kit.Answer takeUp(Kit.Machine machine, Kit.Answer broken) {
    String last = "Last-Event-Id: " + broken.events() + "\r\nResumes: " + broken.id + "\r\n";
    int leftMs = (int) (4_000 - broken.tookMs - 150);
    return Kit.send(
        machine.frontPort, "POST", "/stream/a", broken.id + "-2", leftMs, more() + last, body());
  }

  /** Waits until the store has answered a read of the list of engines by the machine. */
  private static void awaitListRead(Kit.Store.Door door) throws InterruptedException {
    CountDownLatch read = new CountDownLatch(1);
    door.afterAnswer =
        uri -> {
          if (uri.startsWith("/-/log-read") && uri.contains("keyed.servers")) {
            read.countDown();
          }
        };
    read.await();
    Kit.sleep(20);
  }

  /** Sends streams for a while, so that both machines have served some, as in steady use. */
  private static void serveUsualStreams(Kit.Engine engine, Kit.Machine... machines)
      throws InterruptedException {
    engine.events = 2;
    for (int wave = 1; wave <= 10; wave++) {
      CountDownLatch done = new CountDownLatch(8);
      for (int each = 1; each <= 8; each++) {
        String id = "usual-" + wave + "-" + each;
        int port = machines[each % machines.length].frontPort;
        Kit.thread(
            () -> {
              Kit.send(port, "POST", "/stream/a", id, 4_000, more(), body());
              done.countDown();
            });
      }
      done.await();
    }
  }

  private static String more() {
    return "X-Model: m\r\nX-Token-Usage: 100,400\r\n";
  }

  private static byte[] body() {
    return new byte[200];
  }

  private static Set<String> versions(Kit.Answer answer) {
    Set<String> versions = new HashSet<>();
    for (String line : answer.body.toString().split("\n")) {
      if (line.startsWith("data: ")) {
        versions.add(line.split(" ")[1]);
      }
    }
    return versions;
  }

  private static void sleepUntil(long atMs) {
    Kit.sleep(Math.max(0, atMs - Kit.nowMs()));
  }
}
