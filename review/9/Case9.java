import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A chain of turns with long ids; later turns of ordinary programs; then a loss of all processes. */
final class Case9 {

  private static final int FOREIGN_TURNS = 90;
  private static final int ORDINARY_TURNS = 24;

  /** Bound of the site: recover_s. */
  private static final long RECOVER_MS = 15_000;

  private static final List<Kit2.Engine> ENGINES = new ArrayList<>();
  private static final List<Kit2.Vm> VMS = new ArrayList<>();
  private static int later;

  private Case9() {}

  public static void main(String[] args) throws Exception {
    // As many for each VM as at the smallest site: 800 for 21 VMs.
    Kit2.writesPerS = 114;
    Kit2.main("case 9", Case9::run);
  }

  private static boolean run() throws Exception {
    Kit2.Store store = new Kit2.Store();
    store.put("keyed.op", "config", Kit2.configuration(3));
    for (int i = 0; i < 3; i++) {
      ENGINES.add(new Kit2.Engine(store, "i-m" + i, "models", i % 2 == 0 ? "za" : "zb"));
    }
    for (int i = 0; i < 3; i++) {
      VMS.add(new Kit2.Vm(store, "front-" + i, i % 2 == 0 ? "za" : "zb", VMS, 290));
    }
    for (Kit2.Vm vm : VMS) {
      vm.start();
    }
    Kit2.awaitReady(VMS);
    Kit2.sleep(4_000);

    String pad = "x".repeat(Kit2.trouble() && !"kill".equals(System.getenv("TROUBLE")) ? 7_000 : 16);
    String previous = "";
    for (int i = 0; i < FOREIGN_TURNS; i++) {
      String id = pad + "-" + i;
      if (isWhole(turn(VMS.get(i % 3), id, previous))) {
        previous = id;
      }
    }
    Kit2.note("the foreign client has left; records in the store: " + stored(store));
    Kit2.sleep(2_000);
    List<String> whole = new ArrayList<>();
    for (int i = 0; i < ORDINARY_TURNS; i++) {
      String id = "turn" + i;
      if (isWhole(turn(VMS.get(i % 3), id, ""))) {
        whole.add(id);
      }
    }
    // Much longer than the 10 s after which all holders of a record append it.
    Kit2.sleep(14_000);
    Kit2.note("answered whole " + whole.size() + " ordinary turns; records: " + stored(store));
    if (whole.size() < ORDINARY_TURNS / 2) {
      throw new IllegalStateException("too few turns were answered");
    }

    // TROUBLE=kill leaves out the foreign client only.
    if (Kit2.trouble()) {
      for (Kit2.Vm vm : VMS) {
        vm.kill();
      }
      for (Kit2.Vm vm : VMS) {
        vm.awaitEnd();
      }
      Kit2.sleep(1_000);
      for (Kit2.Vm vm : VMS) {
        vm.start();
      }
      Kit2.awaitReady(VMS);
    }
    long backAtMs = Kit2.nowMs();

    List<String> waiting = Collections.synchronizedList(new ArrayList<>(whole));
    int tries = 0;
    while (Kit2.nowMs() < backAtMs + RECOVER_MS && !waiting.isEmpty()) {
      for (String each : List.copyOf(waiting)) {
        String id = "next" + ++tries + "-" + each;
        turn(VMS.get(tries % 3), id, each);
        if (ENGINES.stream().anyMatch(engine -> engine.runs.contains(id))) {
          waiting.remove(each);
        }
      }
      Kit2.sleep(500);
    }
    int served = 0;
    for (int i = 0; i < 20; i++) {
      served += isWhole(turn(VMS.get(i % 3), "later" + ++later, "")) ? 1 : 0;
    }
    Kit2.note("first turns served after the fault: " + served + " of 20");
    Kit2.note("turns answered whole that reached no engine by recover_s: " + waiting);
    return waiting.isEmpty() || served < 16;
  }

  private static long stored(Kit2.Store store) {
    return store.keys("keyed.turns").stream().filter(key -> !key.startsWith("p")).distinct().count();
  }

  private static boolean isWhole(Kit2.Message answer) {
    return answer.status() == 200 && answer.complete;
  }

  private static Kit2.Message turn(Kit2.Vm vm, String id, String previous) {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", "4000");
    headers.put("X-Program-Id", "p-" + id.substring(Math.max(0, id.length() - 20)));
    headers.put("X-Session-Id", "s-1");
    headers.put("X-Finish-Ms", "20000");
    headers.put("X-Token-Usage", "100,100");
    headers.put("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20");
    if (!previous.isEmpty()) {
      headers.put("X-Previous-Turn", previous);
    }
    return Kit2.request(vm, "POST", "/kept/x", headers, "input", 5_000);
  }
}
