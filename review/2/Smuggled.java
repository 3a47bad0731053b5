import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A requester hides a request inside the body of another one, whose length is ambiguous. The rule
 * UNASKED forbids that an engine runs the hidden one.
 */
public final class Smuggled {
  private static final int REQUESTS = 5;

  public static void main(String[] args) throws Exception {
    Kit.main(args, Smuggled::run);
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
    List<Kit.Engine> engines = new ArrayList<>();
    for (String id : List.of("e1", "e2")) {
      Kit.Engine engine = new Kit.Engine(id, "z1", context.record);
      engine.heartbeat(context.store, 1_200);
      engines.add(engine);
    }
    for (int each = 1; each <= 2; each++) {
      context.machine("front-" + each, "z1", context.store.door()).start();
    }
    context.machines.forEach(each -> each.awaitReady(30_000));
    Kit.sleep(2_000);
    int hiddenRuns = 0;
    for (int each = 1; each <= REQUESTS; each++) {
      Kit.Machine machine = context.machines.get(each % 2);
      hiddenRuns += send(context, machine, engines, "length-" + each, "Transfer-Encoding: chunked\r\n");
      hiddenRuns +=
          send(
              context,
              machine,
              engines,
              "codings-" + each,
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n");
    }
    context.record.say(
        "%d requests sent, each with one hidden in its body; hidden requests that engines ran: %d",
        2 * REQUESTS, hiddenRuns);
    return hiddenRuns > 0;
  }

  /**
   * Sends one request whose body, by its Content-Length, holds another request. With trouble, it
   * also names a transfer coding, by which the body ends before the hidden request.
   */
  private static int send(
      Kit.Context context, Kit.Machine machine, List<Kit.Engine> engines, String id, String codings)
      throws IOException {
    String hiddenId = id + "-hidden";
    String hidden =
        "POST /unsafe/payment HTTP/1.1\r\nHost: "
            + Kit.HOST
            + "\r\nX-Request-Id: "
            + hiddenId
            + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    String body = "0\r\n\r\n" + hidden;
    String more = context.trouble ? codings : "";
    List<String> answers = new ArrayList<>();
    try (Socket channel = new Socket("127.0.0.1", machine.frontPort)) {
      channel.setSoTimeout(1_000);
      channel.getOutputStream().write(Kit.request("POST", "/safe/a", id, 1_200, more, body.length()));
      channel.getOutputStream().write(body.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(channel.getInputStream());
      while (true) {
        Kit.Answer answer = new Kit.Answer();
        Kit.read(in, answer);
        if (answer.status == 0) {
          break;
        }
        answers.add(answer.status + " for " + answer.head.header("X-Request-Id"));
      }
    }
    int runs = engines.stream().mapToInt(each -> each.runsOf(hiddenId)).sum();
    context.record.line("%s at %s: answers %s; runs of %s: %d", id, machine.name, answers, hiddenId, runs);
    return runs;
  }
}
