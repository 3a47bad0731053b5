import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns end while the store is down; then processes are killed, and the store comes back. */
final class Case7 {

  private static final int TURNS = 60;

  private Case7() {}

  public static void main(String[] args) throws Exception {
    Kit2.main("case 7", Case7::run);
  }

  private static boolean run() throws Exception {
    Kit2.Store store = new Kit2.Store();
    store.put("keyed.op", "config", Kit2.configuration(3));
    for (int i = 0; i < 4; i++) {
      new Kit2.Engine(store, "i-m" + i, "models", i % 2 == 0 ? "za" : "zb");
    }
    List<Kit2.Vm> vms = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      vms.add(new Kit2.Vm(store, "front-" + i, i % 2 == 0 ? "za" : "zb", vms, 290));
    }
    for (Kit2.Vm vm : vms) {
      vm.start();
    }
    Kit2.awaitReady(vms);
    Kit2.sleep(4_000);

    long downAtMs = Kit2.nowMs();
    if (Kit2.trouble()) {
      store.setSilent(true);
    }
    Kit2.sleep(500);
    List<String> whole = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < TURNS; i++) {
      String id = "turn" + i;
      Kit2.Vm vm = vms.get(i % 2);
      clients.add(
          Kit2.daemon(
              () -> {
                if (isWhole(turn(vm, id, ""))) {
                  whole.add(id);
                }
              }));
      Kit2.sleep(30);
    }
    for (Thread each : clients) {
      each.join(5_000);
    }
    Kit2.note("first turns answered whole: " + whole.size() + " of " + TURNS);
    if (whole.size() < TURNS / 2) {
      throw new IllegalStateException("too few turns were answered");
    }
    if (Kit2.trouble()) {
      Kit2.sleep(downAtMs + 3_800 - Kit2.nowMs());
      vms.get(0).kill();
      vms.get(1).kill();
      vms.get(0).awaitEnd();
      vms.get(1).awaitEnd();
      Kit2.sleep(downAtMs + 4_500 - Kit2.nowMs());
      store.setSilent(false);
      vms.get(0).start();
      vms.get(1).start();
      Kit2.awaitReady(vms);
    }
    Kit2.sleep(8_000);

    int continued = 0;
    int unavailable = 0;
    List<String> notFound = new ArrayList<>();
    for (int i = 0; i < whole.size(); i++) {
      Kit2.Message answer = turn(vms.get(2 + i % 2), "next-" + whole.get(i), whole.get(i));
      if (answer.status() == 404 || answer.status() == 410) {
        notFound.add(whole.get(i));
      } else if (isWhole(answer)) {
        continued++;
      } else {
        unavailable++;
      }
      Kit2.sleep(220);
    }
    Kit2.note(
        "continued "
            + continued
            + ", other failures "
            + unavailable
            + ", 404 for turns answered whole: "
            + notFound);
    return notFound.isEmpty();
  }

  private static boolean isWhole(Kit2.Message answer) {
    return answer.status() == 200 && answer.complete;
  }

  private static Kit2.Message turn(Kit2.Vm vm, String id, String previous) {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", "4000");
    headers.put("X-Program-Id", "p-" + id);
    headers.put("X-Session-Id", "s-" + id);
    headers.put("X-Finish-Ms", "20000");
    headers.put("X-Token-Usage", "100,100");
    headers.put("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20");
    if (!previous.isEmpty()) {
      headers.put("X-Previous-Turn", previous);
    }
    return Kit2.request(vm, "POST", "/kept/x", headers, "input " + id, 5_000);
  }
}
