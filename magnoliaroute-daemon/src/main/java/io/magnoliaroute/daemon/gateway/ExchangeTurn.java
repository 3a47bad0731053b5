package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ReceiveMemoryLimiter;
import io.magnoliaroute.core.gateway.history.HistoryKeys;
import io.magnoliaroute.core.gateway.history.KeptTurn;
import io.magnoliaroute.core.gateway.history.SharedPrefix;
import io.magnoliaroute.core.gateway.history.TurnChain;
import io.magnoliaroute.core.gateway.history.TurnOutput;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.model.Bytes;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * The turn of one request on a route whose turns the system keeps: the chain that it continues, and
 * its output so far. On other routes, it has no effect. Confined to one event loop.
 */
final class ExchangeTurn {

  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;

  /** The store accepts records of 262,144 bytes, which hold the input and the output of a turn. */
  private static final int MAX_INPUT_BYTES = 131_072;

  private static final int MAX_OUTPUT_BYTES = 98_304;

  /**
   * Limit of the turns of a chain: the record of the last one names all others, with ids of usual
   * length in less than 16 kB.
   */
  private static final int MAX_TURNS = 256;

  private final GatewayContext gateway;
  private final ClientRequest request;
  private final boolean kept;
  private final ResponseBuffer outputMemory;
  private TurnOutput output = new TurnOutput();
  private Optional<ReceiveMemoryLimiter.Message> bodyMemory = Optional.empty();
  private Optional<TurnChain> chain = Optional.empty();
  private Optional<String> sharedPart = Optional.empty();
  private int sharedBytes;
  private Buffer requestBody;
  private boolean outputTooLarge;
  private boolean complete;
  private boolean released;

  ExchangeTurn(GatewayContext gateway, ClientRequest request) {
    this.gateway = gateway;
    this.request = request;
    this.kept = request.route().keepsHistory() && request.route().kind().isStream();
    this.outputMemory = new ResponseBuffer(gateway.responseMemory());
    this.requestBody = request.body();
  }

  /** Returns whether the system keeps the turn. */
  boolean isKept() {
    return kept;
  }

  /** Returns the body that endpoints get: the chain and the new input. */
  Buffer requestBody() {
    return requestBody;
  }

  /** Looks up the chain; completes with the reason why the request may not run, if any. */
  Future<Optional<RequestAdmission.Refusal>> lookUp() {
    if (request.body().length() > MAX_INPUT_BYTES) {
      return refused(TOO_LARGE, "input of a kept turn exceeds " + MAX_INPUT_BYTES + " bytes", 0);
    }
    if (!restoreOutput()) {
      // The turn would lack the output before the resumption.
      return refused(UNAVAILABLE, "begin of the resumed turn not known", Exchange.RETRY_AFTER_MS);
    }
    if (request.metadata().previousTurnId().isEmpty()) {
      keepSharedPart();
      return Future.succeededFuture(Optional.empty());
    }
    String key = HistoryKeys.ofTurn(workspaceName(), request.metadata().previousTurnId().get());
    return gateway.turnHistory().lookup().find(key).compose(this::onLookup);
  }

  // Returns whether the output before the resumption, if any, is known.
  private boolean restoreOutput() {
    Optional<String> lastEventId = request.metadata().lastEventId();
    if (lastEventId.isEmpty()) {
      return true;
    }
    Optional<TurnOutput> begin =
        gateway.turnHistory().interruptedTurns().find(interruptionKey(), lastEventId.get());
    begin.ifPresent(known -> output = known);
    return begin.isPresent();
  }

  // All resumptions of a stream name the request that delivered its first event.
  private String interruptionKey() {
    String first = request.metadata().resumedRequestId().orElse(request.metadata().requestId());
    return HistoryKeys.ofTurn(workspaceName(), first);
  }

  private Future<Optional<RequestAdmission.Refusal>> onLookup(TurnLookup.Result result) {
    return switch (result.outcome()) {
      case ABSENT -> refused(NOT_FOUND, "previous turn does not exist", 0);
      case UNCERTAIN -> refused(UNAVAILABLE, "previous turn not known", Exchange.RETRY_AFTER_MS);
      default -> assemble(result.chain().orElseThrow());
    };
  }

  private Future<Optional<RequestAdmission.Refusal>> assemble(TurnChain found) {
    if (released) {
      // The request has ended during the lookup; nobody would release the memory of its body.
      return refused(UNAVAILABLE, "request has ended", Exchange.RETRY_AFTER_MS);
    }
    if (found.turns().size() >= MAX_TURNS) {
      return refused(TOO_LARGE, "chain exceeds " + MAX_TURNS + " turns", 0);
    }
    ReceiveMemoryLimiter.Message memory = gateway.turnHistory().beginBody();
    memory.markComplete();
    if (!memory.tryResize(found.sizeBytes() + request.body().length())) {
      memory.release();
      return refused(UNAVAILABLE, "request memory limit reached", Exchange.RETRY_AFTER_MS);
    }
    bodyMemory = Optional.of(memory);
    chain = Optional.of(found);
    requestBody = Buffer.buffer(found.assemble(request.body().getBytes()));
    return Future.succeededFuture(Optional.empty());
  }

  // Only the first turn of a chain carries the shared part; the endpoint works meanwhile.
  private void keepSharedPart() {
    int bytes = SharedPrefix.sharedBytes(request.body().length(), request.metadata().prefix());
    if (bytes > 0) {
      sharedBytes = bytes;
      Bytes content = Bytes.copyOf(request.body().getBytes(0, bytes));
      sharedPart =
          Optional.of(
              gateway
                  .turnHistory()
                  .sharedParts()
                  .ensureKept(content, request.route().historyRetentionMs()));
    }
  }

  private static Future<Optional<RequestAdmission.Refusal>> refused(
      int status, String reason, long retryAfterMs) {
    return Future.succeededFuture(
        Optional.of(new RequestAdmission.Refusal(status, reason, retryAfterMs)));
  }

  private Optional<String> workspaceName() {
    return request.workspace().map(Workspace::name);
  }

  /** Collects the data of events that were forwarded to the client. */
  void collect(Buffer events) {
    if (!kept || outputTooLarge) {
      return;
    }
    output.add(events.getBytes());
    outputTooLarge =
        output.sizeBytes() > MAX_OUTPUT_BYTES || !outputMemory.tryResize(output.sizeBytes());
  }

  /** Keeps the turn, whose response is complete. Fails if it cannot be kept. */
  Future<Void> keep() {
    if (outputTooLarge) {
      gateway
          .log()
          .line("turn_too_large")
          .put("request", request.metadata().requestId())
          .put("limit_bytes", MAX_OUTPUT_BYTES)
          .write();
      return Future.failedFuture("output of a kept turn exceeds the limit");
    }
    complete = true;
    long nowMs = gateway.clock().millis();
    TurnHistory history = gateway.turnHistory();
    boolean refersToPart = sharedPart.isPresent() && history.sharedParts().isKept(sharedPart.get());
    Buffer body = request.body();
    byte[] input = refersToPart ? body.getBytes(sharedBytes, body.length()) : body.getBytes();
    List<String> ancestors =
        chain.map(TurnChain::newest).map(KeptTurn::withAncestors).orElse(List.of());
    chain.ifPresent(found -> renew(found, nowMs));
    return history
        .keeper()
        .keep(
            new KeptTurn(
                request.metadata().requestId(),
                workspaceName(),
                ancestors,
                refersToPart ? sharedPart : Optional.empty(),
                Bytes.copyOf(input),
                Bytes.copyOf(output.toByteArray()),
                nowMs,
                request.route().historyRetentionMs(),
                history.ownName()));
  }

  private void renew(TurnChain found, long nowMs) {
    TurnHistory history = gateway.turnHistory();
    for (KeptTurn ancestor : found.turns()) {
      if (ancestor.needsRenewal(nowMs)) {
        history.keeper().keep(ancestor.renewed(nowMs));
        found.parts().stream()
            .filter(part -> ancestor.sharedPart().equals(Optional.of(part.key())))
            .forEach(part -> history.sharedParts().ensureKept(part.content(), part.retentionMs()));
      }
    }
  }

  /** Releases the memory of the assembled body and of the output. */
  void release() {
    released = true;
    if (kept && !complete && !outputTooLarge && output.sizeBytes() > 0) {
      gateway.turnHistory().interruptedTurns().put(interruptionKey(), output);
    }
    bodyMemory.ifPresent(ReceiveMemoryLimiter.Message::release);
    bodyMemory = Optional.empty();
    requestBody = Buffer.buffer();
    outputMemory.clear();
  }
}
