import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Programs of two tenants have the same ids; those of the second tenant have spent their budgets. */
final class Case10 {

  private static final int PROGRAMS = 40;

  private static final List<Kit2.Vm> VMS = new ArrayList<>();
  private static int requests;

  private Case10() {}

  public static void main(String[] args) throws Exception {
    Kit2.tenants =
        "[{\"name\":\"hule930\",\"api_keys\":[\"key-a-1\"],\"per_s\":0,\"burst\":0},"
            + "{\"name\":\"mido114\",\"api_keys\":[\"key-b-1\"],\"per_s\":0,\"burst\":0}]";
    Kit2.main("case 10", Case10::run);
  }

  private static boolean run() throws Exception {
    Kit2.Store store = new Kit2.Store();
    store.put("keyed.op", "config", Kit2.configuration(3));
    for (int i = 0; i < 4; i++) {
      new Kit2.Engine(store, "i-m" + i, "models", i % 2 == 0 ? "za" : "zb");
    }
    for (int i = 0; i < 2; i++) {
      VMS.add(new Kit2.Vm(store, "front-" + i, i % 2 == 0 ? "za" : "zb", VMS, 290));
    }
    for (Kit2.Vm vm : VMS) {
      vm.start();
    }
    Kit2.awaitReady(VMS);
    Kit2.sleep(4_000);

    int spent = 0;
    for (int i = 0; i < PROGRAMS; i++) {
      String program = (Kit2.trouble() ? "3fa8" : "77b1") + (10 + i);
      for (int turn = 0; turn < 2; turn++) {
        spent += turn("key-b-1", "b", program, 60, 60).status() == 402 ? 1 : 0;
      }
    }
    Kit2.note("programs of mido114 that have spent their budgets: " + spent + " of " + PROGRAMS);
    Kit2.sleep(1_000);
    int denied = 0;
    int served = 0;
    for (int i = 0; i < PROGRAMS; i++) {
      Kit2.Message answer = turn("key-a-1", "a", "3fa8" + (10 + i), 4_704, 100);
      denied += answer.status() == 402 ? 1 : 0;
      served += answer.status() == 200 && answer.complete ? 1 : 0;
    }
    double allowed = 5 + requests / 500.0;
    Kit2.note(
        "first turns of hule930's programs (budget 4,704): served "
            + served
            + ", answered 402 "
            + denied
            + " of "
            + PROGRAMS
            + "; DENIED allows "
            + allowed);
    return denied <= allowed;
  }

  private static Kit2.Message turn(
      String key, String tenant, String program, int budget, int maxTokens) {
    String id = tenant + "-r" + ++requests;
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Request-Id", id);
    headers.put("Authorization", "Bearer " + key);
    headers.put("X-Deadline-Ms", "4000");
    headers.put("X-Program-Id", program);
    headers.put("X-Session-Id", "s-" + tenant + program);
    headers.put("X-Finish-Ms", "20000");
    headers.put("X-Token-Budget", String.valueOf(budget));
    headers.put("X-Token-Usage", "100," + maxTokens);
    headers.put("X-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20");
    return Kit2.request(VMS.get(requests % 2), "POST", "/stream/x", headers, "prompt", 5_000);
  }
}
