import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Programs with budgets run while the machines are stopped and started one after the other. */
final class Case9 {

  private static final int PROGRAMS = 18;
  private static final int BUDGET = 4_200;
  private static final int EVENTS = 10;

  /** The most of one turn, and what each turn generates: 10 events with a stride of 10. */
  private static final int TURN = 100;

  private static final long PAUSE_MS = 700;
  private static final long CONTACT_MS = 4_000;

  /** Two misses of the readiness check, which comes once a second. */
  private static final long ROTATION_MS = 2_000;

  private static final AtomicInteger REQUESTS = new AtomicInteger();
  private static final AtomicInteger WRONG = new AtomicInteger();
  private static final List<String> ENDS = Collections.synchronizedList(new ArrayList<>());
  private static final List<Kit2.Vm> VMS = new ArrayList<>();
  private static final boolean[] IN_ROTATION = {true, true, true};
  private static final long[] IN_TOUCH_FROM_MS = new long[3];

  private Case9() {}

  public static void main(String[] args) throws Exception {
    Kit2.main("case 9", Case9::run);
  }

  private static boolean run() throws Exception {
    Kit2.Store store = new Kit2.Store();
    store.put("keyed.op", "config", Kit2.configuration(3));
    for (int i = 0; i < 6; i++) {
      Kit2.Engine engine = new Kit2.Engine(store, "i-m" + i, "models", i % 2 == 0 ? "za" : "zb");
      engine.events = EVENTS;
      engine.gapMs = 20;
    }
    for (int i = 0; i < 3; i++) {
      VMS.add(new Kit2.Vm(store, "front-" + i, i == 1 ? "zb" : "za", VMS, 290));
    }
    for (Kit2.Vm vm : VMS) {
      vm.start();
    }
    Kit2.awaitReady(VMS);
    Kit2.sleep(4_000);
    List<Thread> programs = new ArrayList<>();
    for (int i = 0; i < PROGRAMS; i++) {
      int number = i;
      programs.add(Kit2.daemon(() -> runProgram(number)));
      Kit2.sleep(40);
    }
    Kit2.sleep(1_500);
    if (Kit2.trouble()) {
      for (int i = 0; i < VMS.size(); i++) {
        restart(i);
        Kit2.sleep(2_500);
      }
    }
    for (Thread each : programs) {
      each.join(70_000);
    }
    double allowed = 5 + REQUESTS.get() / 500.0;
    Kit2.note("tokens of each program, all with a budget of " + BUDGET + ": " + ENDS);
    Kit2.note(
        "402 by machines in touch though the budget holds a further turn: "
            + WRONG
            + ", allowed "
            + allowed
            + " of "
            + REQUESTS
            + " requests");
    return WRONG.get() <= allowed;
  }

  private static void restart(int number) throws Exception {
    Kit2.Vm vm = VMS.get(number);
    Kit2.note("SIGTERM " + vm.name);
    synchronized (IN_ROTATION) {
      IN_TOUCH_FROM_MS[number] = Long.MAX_VALUE;
    }
    vm.process.destroy();
    Kit2.sleep(ROTATION_MS);
    synchronized (IN_ROTATION) {
      IN_ROTATION[number] = false;
    }
    if (!vm.process.waitFor(6, TimeUnit.SECONDS)) {
      vm.kill();
      vm.awaitEnd();
    }
    Kit2.note(vm.name + " has ended");
    Kit2.sleep(500);
    vm.start();
    long startedMs = Kit2.nowMs();
    vm.awaitReady(20_000);
    synchronized (IN_ROTATION) {
      IN_ROTATION[number] = true;
      IN_TOUCH_FROM_MS[number] = startedMs + CONTACT_MS;
    }
  }

  private static void runProgram(int number) {
    String program = "prog-" + number;
    int next = number;
    int failures = 0;
    long tokens = 0;
    while (failures < 8) {
      int chosen;
      boolean inTouch;
      synchronized (IN_ROTATION) {
        do {
          chosen = ++next % 3;
        } while (!IN_ROTATION[chosen]);
        inTouch = Kit2.nowMs() >= IN_TOUCH_FROM_MS[chosen];
      }
      Kit2.Message answer = turn(VMS.get(chosen), program);
      tokens += (long) TURN / EVENTS * (answer.text().split("data:", -1).length - 1);
      if (answer.status() == 402) {
        boolean wrong = tokens + TURN <= BUDGET;
        WRONG.addAndGet(wrong && inTouch ? 1 : 0);
        ENDS.add(tokens + (wrong ? inTouch ? " wrong" : " wrong, not in touch" : ""));
        return;
      }
      failures = answer.status() == 200 && answer.complete ? 0 : failures + 1;
      Kit2.sleep(failures > 0 ? 200 : PAUSE_MS);
    }
    ENDS.add(tokens + " failed");
  }

  private static Kit2.Message turn(Kit2.Vm vm, String program) {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", "r" + REQUESTS.incrementAndGet());
    headers.put("X-Deadline-Ms", "4000");
    headers.put("X-Program-Id", program);
    headers.put("X-Session-Id", "s-" + program);
    headers.put("X-Finish-Ms", "90000");
    headers.put("X-Token-Budget", String.valueOf(BUDGET));
    headers.put("X-Token-Usage", "100," + TURN);
    headers.put("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20");
    return Kit2.request(vm, "POST", "/stream/x", headers, "prompt", 5_000);
  }
}
