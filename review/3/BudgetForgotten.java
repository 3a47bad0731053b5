import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Programs spend their token budgets while the platform's store is down, and one machine is killed
 * and started again meanwhile. The rule BUDGET bounds the tokens of all turns of a program, over
 * restarts.
 */
public final class BudgetForgotten {
  private static final int STRIDE = 10;
  private static final int EVENTS = 10;
  private static final int TURN_TOKENS = STRIDE * EVENTS;
  private static final int BUDGET = 8 * TURN_TOKENS;
  private static final int PROGRAMS = 12;
  private static final long OUTAGE_MS = 7_000;

  /** A program that loops: it sends turns until it is told that its budget is spent. */
  private static final class Program {
    private final String id;
    private int turns;
    private int tokens;
    private boolean stopped;

    Program(String id) {
      this.id = id;
    }

    /** Sends turns, one after another, through all machines. */
    void run(Kit.Context context, String when, int most) {
      for (int each = 0; each < most && !stopped; each++) {
        Kit.Machine machine = context.machines.get(turns % context.machines.size());
        turns++;
        String turn = id + "-turn-" + turns;
        Kit.Answer answer =
            Kit.send(
                machine.frontPort,
                "POST",
                "/stream/a",
                turn,
                4_000,
                "X-Program-Id: "
                    + id
                    + "\r\nX-Session-Id: s1\r\nX-Finish-Ms: 60000\r\nX-Model: m\r\nX-Token-Budget: "
                    + BUDGET
                    + "\r\nX-Token-Usage: 100,"
                    + TURN_TOKENS
                    + "\r\n",
                new byte[100]);
        tokens += answer.events() * STRIDE;
        stopped = answer.status == 402;
        context.record.line(
            "%s %s at %s: %s; %d tokens so far", when, turn, machine.name, answer, tokens);
        Kit.sleep(100);
      }
    }
  }

  public static void main(String[] args) throws Exception {
    Kit.main(args, BudgetForgotten::run);
  }

  private static boolean run(Kit.Context context) throws Exception {
    context.store.put(
        "keyed.op",
        "config",
        Kit.configuration(1, STRIDE, 4_194_304, Kit.route("stream", "stream", 4_000, true)));
    List<Kit.Store.Door> doors = new ArrayList<>();
    for (int each = 1; each <= 3; each++) {
      Kit.Engine engine = new Kit.Engine("e" + each, "z" + each, context.record);
      engine.events = EVENTS;
      engine.heartbeat(context.store, 1_200);
      Kit.Store.Door door = context.store.door();
      doors.add(door);
      context.machine("front-z" + each, "z" + each, door).start();
    }
    context.machines.forEach(each -> each.awaitReady(30_000));
    Kit.sleep(3_000);
    List<Program> programs = new ArrayList<>();
    for (int each = 1; each <= PROGRAMS; each++) {
      programs.add(new Program("p" + each));
    }
    runAll(context, programs, "before", 2);
    long downAtMs = Kit.nowMs();
    if (context.trouble) {
      context.record.say("the store is down: it answers 503");
      doors.forEach(each -> each.set(Kit.Store.Mode.BUSY));
      Kit.sleep(1_000);
    }
    runAll(context, programs, "in the outage", 8);
    if (context.trouble) {
      Kit.Machine killed = context.machines.get(0);
      // TROUBLE=down: the store is down, but no machine is killed. TROUBLE=all: all are.
      String kind = String.valueOf(System.getenv("TROUBLE"));
      for (Kit.Machine each : context.machines) {
        if (kind.equals("all") || (each == killed && !kind.equals("down"))) {
          context.record.say("%s is killed %d ms after that", each.name, Kit.nowMs() - downAtMs);
          each.kill();
          each.start();
        }
      }
      Kit.sleep(Math.max(0, downAtMs + OUTAGE_MS - Kit.nowMs()));
      doors.forEach(each -> each.set(Kit.Store.Mode.SERVES));
      context.record.say("the store is back after %d ms", Kit.nowMs() - downAtMs);
      context.machines.forEach(each -> each.awaitReady(30_000));
      Kit.sleep(2_000);
    }
    runAll(context, programs, "after", 14);
    int bound = BUDGET + TURN_TOKENS;
    int over = 0;
    for (Program each : programs) {
      over += each.tokens > bound ? 1 : 0;
      context.record.say(
          "%s got %d tokens; budget %d + most of one turn %d = %d%s",
          each.id, each.tokens, BUDGET, TURN_TOKENS, bound, each.tokens > bound ? ": too many" : "");
    }
    return over > 0;
  }

  private static void runAll(Kit.Context context, List<Program> programs, String when, int turns)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(programs.size());
    for (Program each : programs) {
      Kit.thread(
          () -> {
            each.run(context, when, turns);
            done.countDown();
          });
    }
    done.await();
  }
}
