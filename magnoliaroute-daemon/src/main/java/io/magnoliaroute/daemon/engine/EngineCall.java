package io.magnoliaroute.daemon.engine;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/** One call to a model engine. It is used on the context that made it. */
public final class EngineCall {

  private static final int OK = 200;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Context context;
  private final EngineTimeouts timeouts;
  private final EngineListener listener;
  private final AnswerBuilder answer = new AnswerBuilder();
  private final SseReader events;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long timer = NO_TIMER;
  private int tokensAtTimer;
  private boolean ended;

  EngineCall(Vertx vertx, EngineTimeouts timeouts, EngineListener listener) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.timeouts = timeouts;
    this.listener = listener;
    this.events = new SseReader(answer, this::forward);
  }

  void start(Future<HttpClientRequest> connected, Buffer body) {
    startTimer(timeouts.firstTokenMs());
    connected.onComplete(
        done ->
            context.runOnContext(
                run -> {
                  if (done.succeeded()) {
                    send(done.result(), body);
                  } else {
                    fail(EngineFailure.Kind.NOT_SENT, String.valueOf(done.cause().getMessage()));
                  }
                }));
  }

  /** Cancels the call at the engine; the listener hears nothing more. */
  public void cancel() {
    if (ended) {
      return;
    }
    end();
    if (request != null) {
      request.reset();
    }
  }

  /** Stops reading from the engine until {@link #resume}. */
  public void pause() {
    if (!ended && response != null) {
      response.pause();
    }
  }

  /** Reads on. */
  public void resume() {
    if (!ended && response != null) {
      response.resume();
    }
  }

  /** Returns the text received so far. */
  public String textSoFar() {
    return answer.text();
  }

  /** Returns the tokens received so far. */
  public int tokensSoFar() {
    return answer.tokens();
  }

  private void send(HttpClientRequest opened, Buffer body) {
    if (ended) {
      opened.reset();
      return;
    }
    request = opened;
    opened.exceptionHandler(failure -> broken(failure));
    opened
        .response()
        .onComplete(
            done -> {
              if (done.succeeded()) {
                received(done.result());
              } else {
                broken(done.cause());
              }
            });
    opened.end(body);
  }

  private void received(HttpClientResponse received) {
    if (ended) {
      return;
    }
    response = received;
    if (received.statusCode() != OK) {
      request.reset();
      fail(EngineFailure.Kind.REFUSED, "status " + received.statusCode());
      return;
    }
    received.handler(this::read);
    received.exceptionHandler(this::broken);
    received.endHandler(end -> finish());
  }

  private void read(Buffer received) {
    if (ended) {
      return;
    }
    try {
      events.read(received);
    } catch (SseReader.MalformedAnswerException e) {
      request.reset();
      fail(EngineFailure.Kind.BROKEN, e.getMessage());
      return;
    }
    if (events.isDone()) {
      finish();
    }
  }

  private void forward(Buffer buffer) {
    if (!ended) {
      listener.onTokens(buffer, answer.tokens());
    }
  }

  private void finish() {
    if (ended) {
      return;
    }
    if (!answer.isFinished()) {
      fail(EngineFailure.Kind.BROKEN, "the answer ended early");
      return;
    }
    end();
    listener.onAnswer(answer.build());
  }

  private void broken(Throwable failure) {
    fail(EngineFailure.Kind.BROKEN, String.valueOf(failure.getMessage()));
  }

  private void fail(EngineFailure.Kind kind, String detail) {
    if (ended) {
      return;
    }
    end();
    listener.onFailure(new EngineFailure(kind, detail));
  }

  private void startTimer(long delayMs) {
    tokensAtTimer = answer.tokens();
    timer = vertx.setTimer(delayMs, fired -> checkProgress());
  }

  private void checkProgress() {
    if (ended) {
      return;
    }
    if (answer.tokens() > tokensAtTimer) {
      startTimer(timeouts.stallMs());
      return;
    }
    if (request != null) {
      request.reset();
    }
    fail(EngineFailure.Kind.TIMED_OUT, "no token in time after " + answer.tokens());
  }

  private void end() {
    ended = true;
    vertx.cancelTimer(timer);
  }
}
