import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each engine that begins to run it, and its caller sends it again. The rule
 * BUDGET allows three more retries to reach engines once it has crashed the third.
 */
public final class PoisonUnsafe {
  private static final int ENGINES = 4;
  private static final int CONTACT_MS = 3_000;
  private static final int BACK_AFTER_MS = 2_000;
  private static final String PATH = "/unsafe/invoice-7";
  private static final byte[] BODY = "{\"invoice\":7}".getBytes();

  /** A place where an engine runs; after a crash a new engine starts there, with a new id. */
  private static final class Place {
    private final int number;
    private int starts;
    private volatile CrashingEngine engine;

    Place(int number) {
      this.number = number;
    }

    void start(Kit.Context context) throws IOException {
      starts++;
      CrashingEngine started = new CrashingEngine("e" + number + "-" + starts, this, context);
      engine = started;
      started.register(context.store, "ready");
      Kit.thread(
          () -> {
            while (engine == started && !started.crashed) {
              Kit.sleep(1_200);
              if (!started.crashed) {
                started.register(context.store, "ready");
              }
            }
          });
    }
  }

  private static final AtomicInteger PAYMENTS = new AtomicInteger();
  private static final AtomicInteger BROKEN_OFF = new AtomicInteger();
  private static volatile boolean ended;
  private static int crashes;
  private static long thirdCrashMs = Long.MAX_VALUE / 2;
  private static final List<String> LATE = new ArrayList<>();

  private static final class CrashingEngine extends Kit.Engine {
    private final Place place;
    private final Kit.Context context;
    private volatile boolean crashed;

    CrashingEngine(String id, Place place, Kit.Context context) throws IOException {
      super(id, "z1", context.record);
      workMs = 300;
      this.place = place;
      this.context = context;
    }

    @Override
    void run(Kit.Message request, Socket channel, InputStream in, OutputStream out)
        throws IOException {
      if (!request.path().equals(PATH)) {
        super.run(request, channel, in, out);
        return;
      }
      synchronized (LATE) {
        if (Kit.nowMs() > thirdCrashMs + CONTACT_MS) {
          LATE.add(request.header("X-Request-Id") + " at " + id);
        }
      }
      if (!context.trouble) {
        super.run(request, channel, in, out);
        return;
      }
      crash();
    }

    private void crash() throws IOException {
      crashed = true;
      synchronized (LATE) {
        crashes++;
        record.line("engine %s crashes (crash %d)", id, crashes);
        if (crashes == 3) {
          thirdCrashMs = Kit.nowMs();
        }
      }
      Kit.thread(
          () -> {
            Kit.sleep(BACK_AFTER_MS);
            context.store.remove("keyed.servers", id);
            place.start(context);
          });
      listener.close();
    }
  }

  public static void main(String[] args) throws Exception {
    Kit.main(args, PoisonUnsafe::run);
  }

  private static boolean run(Kit.Context context) throws Exception {
    context.store.put(
        "keyed.op",
        "config",
        Kit.configuration(
            1,
            10,
            4_194_304,
            Kit.route("unsafe", "unsafe", 2_000, false),
            Kit.route("safe", "safe", 1_200, false)));
    for (int each = 1; each <= ENGINES; each++) {
      new Place(each).start(context);
    }
    for (int each = 1; each <= 3; each++) {
      context.machine("front-" + each, "z1", context.store.door()).start();
    }
    context.machines.forEach(each -> each.awaitReady(30_000));
    Kit.sleep(3_000);
    for (int each = 1; each <= 4; each++) {
      String requester = "payment-" + each + "-";
      Kit.thread(() -> pay(context, requester));
    }
    int sent = 0;
    long endMs = Kit.nowMs() + 45_000;
    while (Kit.nowMs() < endMs) {
      Kit.Machine machine = context.machines.get(sent % context.machines.size());
      sent++;
      String id = "poison-" + sent;
      Kit.Answer answer =
          Kit.send(machine.frontPort, "POST", PATH, id, 2_000, "X-Caller: c1\r\n", BODY);
      context.record.line("%s at %s: %s", id, machine.name, answer);
      Kit.sleep(2_000);
    }
    ended = true;
    context.record.say(
        "payments of other requesters: %d, broken off at an engine: %d",
        PAYMENTS.get(), BROKEN_OFF.get());
    int reached;
    synchronized (LATE) {
      reached = LATE.size();
      context.record.say(
          "sent %d times, %d crashes; later than %d ms after the third crash it reached engines %d times",
          sent, crashes, CONTACT_MS, reached);
    }
    return reached > 3;
  }

  /** Sends payments, one after another; they may run once at most. */
  private static void pay(Kit.Context context, String requester) {
    for (int each = 1; !ended; each++) {
      Kit.Machine machine = context.machines.get(each % context.machines.size());
      String id = requester + each;
      Kit.Answer answer =
          Kit.send(machine.frontPort, "POST", "/unsafe/pay", id, 2_000, "", new byte[600]);
      PAYMENTS.incrementAndGet();
      if (answer.status == 502) {
        BROKEN_OFF.incrementAndGet();
      }
      context.record.line("%s at %s: %s", id, machine.name, answer);
    }
  }
}
