import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Programs run through an outage of the store; all processes are killed at its end. */
final class Case10 {

  private static final int PROGRAMS = 6;
  private static final int BUDGET = 3_000;
  private static final int MAX_TURN = 100;
  private static final int STRIDE = 10;
  private static final long OUTAGE_MS = 4_500;

  private static final List<Kit2.Vm> VMS = new ArrayList<>();
  private static final long[] DELIVERED = new long[PROGRAMS];
  private static final boolean[] SPENT = new boolean[PROGRAMS];
  private static int sent;

  private Case10() {}

  public static void main(String[] args) throws Exception {
    Kit2.main("case 10", Case10::run);
  }

  private static boolean run() throws Exception {
    Kit2.Store store = new Kit2.Store();
    store.put("keyed.op", "config", Kit2.configuration(3, STRIDE, 60));
    for (int i = 0; i < 4; i++) {
      new Kit2.Engine(store, "i-m" + i, "models", i % 2 == 0 ? "za" : "zb").gapMs = 1;
    }
    for (int i = 0; i < 3; i++) {
      VMS.add(new Kit2.Vm(store, "front-" + i, i == 1 ? "zb" : "za", VMS, 290));
    }
    for (Kit2.Vm vm : VMS) {
      vm.start();
    }
    Kit2.awaitReady(VMS);
    Kit2.sleep(4_000);

    runPrograms(Kit2.nowMs() + 1_000);
    note("before the outage");
    long downAtMs = Kit2.nowMs();
    if (Kit2.trouble()) {
      store.setSilent(true);
    }
    runPrograms(downAtMs + OUTAGE_MS - 500);
    note("at the end of the outage");
    if (Kit2.trouble()) {
      for (Kit2.Vm vm : VMS) {
        vm.kill();
      }
      for (Kit2.Vm vm : VMS) {
        vm.awaitEnd();
      }
      Kit2.sleep(downAtMs + OUTAGE_MS - Kit2.nowMs());
      store.setSilent(false);
      for (Kit2.Vm vm : VMS) {
        vm.start();
      }
      Kit2.awaitReady(VMS);
      Kit2.sleep(500);
    }
    runPrograms(Kit2.nowMs() + 45_000);
    note("at the end");
    int over = 0;
    for (long delivered : DELIVERED) {
      over += delivered > BUDGET + MAX_TURN ? 1 : 0;
    }
    Kit2.note("programs over " + BUDGET + " + " + MAX_TURN + " tokens: " + over + " of " + PROGRAMS);
    return over == 0;
  }

  private static void note(String when) {
    Kit2.note("tokens handed to the requesters " + when + ": " + java.util.Arrays.toString(DELIVERED));
  }

  // Runs all programs at once, each turn by turn, until the time or until their budgets are spent.
  private static void runPrograms(long untilMs) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < PROGRAMS; i++) {
      int number = i;
      threads.add(Kit2.daemon(() -> runProgram(number, untilMs)));
    }
    for (Thread each : threads) {
      each.join();
    }
  }

  private static void runProgram(int number, long untilMs) {
    while (Kit2.nowMs() < untilMs && !SPENT[number]) {
      int turn = nextTurn();
      Kit2.Message answer = turn(VMS.get((number + turn) % VMS.size()), number, turn);
      // A 402 ends the program, but a program that loops sends the turn again; here it stops.
      SPENT[number] = answer.status() == 402;
      DELIVERED[number] += (long) STRIDE * (answer.text().split("data:", -1).length - 1);
      Kit2.sleep(40);
    }
  }

  private static synchronized int nextTurn() {
    return ++sent;
  }

  private static Kit2.Message turn(Kit2.Vm vm, int number, int turn) {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", "r" + turn);
    headers.put("X-Deadline-Ms", "4000");
    headers.put("X-Program-Id", "3fa81c" + number);
    headers.put("X-Session-Id", "77d20b" + number);
    headers.put("X-Finish-Ms", "60000");
    headers.put("X-Token-Budget", String.valueOf(BUDGET));
    headers.put("X-Token-Usage", "100," + MAX_TURN);
    headers.put("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20");
    return Kit2.request(vm, "POST", "/stream/x", headers, "prompt", 5_000);
  }
}
