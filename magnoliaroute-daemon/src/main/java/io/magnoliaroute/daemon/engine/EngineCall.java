package io.magnoliaroute.daemon.engine;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/**
 * One call to a model engine. All methods must be called on the Vert.x context that created the
 * call; listener callbacks run on the same context.
 */
public final class EngineCall {

  private static final int OK = 200;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Context context;
  private final EndpointTimeouts timeouts;
  private final EngineListener listener;
  private final ResponseBuilder responseBuilder = new ResponseBuilder();
  private final SseReader eventReader;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private long progressTimer = NO_TIMER;
  private int tokensAtTimerStart;
  private boolean ended;

  EngineCall(Vertx vertx, EndpointTimeouts timeouts, EngineListener listener) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.timeouts = timeouts;
    this.listener = listener;
    this.eventReader = new SseReader(responseBuilder, this::forwardEvents);
  }

  void start(Future<HttpClientRequest> requestFuture, Buffer body) {
    startProgressTimer(timeouts.firstTokenMs());
    requestFuture.onComplete(
        result ->
            context.runOnContext(
                run -> {
                  if (result.succeeded()) {
                    sendRequest(result.result(), body);
                  } else {
                    fail(
                        EndpointFailure.Kind.NOT_SENT, String.valueOf(result.cause().getMessage()));
                  }
                }));
  }

  /** Cancels the call at the engine. The listener receives no further callbacks. */
  public void cancel() {
    if (ended) {
      return;
    }
    markEnded();
    if (request != null) {
      request.reset();
    }
  }

  /** Pauses reading from the engine until {@link #resume} is called (back-pressure). */
  public void pause() {
    if (!ended && response != null) {
      response.pause();
    }
  }

  /** Resumes reading after {@link #pause}. */
  public void resume() {
    if (!ended && response != null) {
      response.resume();
    }
  }

  /** Returns the text received so far in this call. */
  public String textSoFar() {
    return responseBuilder.text();
  }

  /** Returns the number of tokens received so far in this call. */
  public int tokensSoFar() {
    return responseBuilder.tokenCount();
  }

  private void sendRequest(HttpClientRequest newRequest, Buffer body) {
    if (ended) {
      newRequest.reset();
      return;
    }
    request = newRequest;
    newRequest.exceptionHandler(failure -> failBroken(failure));
    newRequest
        .response()
        .onComplete(
            result -> {
              if (result.succeeded()) {
                onResponse(result.result());
              } else {
                failBroken(result.cause());
              }
            });
    newRequest.end(body);
  }

  private void onResponse(HttpClientResponse newResponse) {
    if (ended) {
      return;
    }
    response = newResponse;
    if (newResponse.statusCode() != OK) {
      request.reset();
      fail(EndpointFailure.Kind.REFUSED, "status " + newResponse.statusCode());
      return;
    }
    newResponse.handler(this::onData);
    newResponse.exceptionHandler(this::failBroken);
    newResponse.endHandler(end -> complete());
  }

  private void onData(Buffer data) {
    if (ended) {
      return;
    }
    try {
      eventReader.read(data);
    } catch (SseReader.MalformedResponseException e) {
      request.reset();
      fail(EndpointFailure.Kind.BROKEN, e.getMessage());
      return;
    }
    if (eventReader.isDoneReceived()) {
      complete();
    }
  }

  private void forwardEvents(Buffer events) {
    if (!ended) {
      listener.onTokens(events, responseBuilder.tokenCount());
    }
  }

  private void complete() {
    if (ended) {
      return;
    }
    if (!responseBuilder.hasFinishReason()) {
      fail(EndpointFailure.Kind.BROKEN, "the answer ended early");
      return;
    }
    markEnded();
    listener.onResponse(responseBuilder.build());
  }

  private void failBroken(Throwable failure) {
    fail(EndpointFailure.Kind.BROKEN, String.valueOf(failure.getMessage()));
  }

  private void fail(EndpointFailure.Kind kind, String detail) {
    if (ended) {
      return;
    }
    markEnded();
    listener.onFailure(new EndpointFailure(kind, detail));
  }

  private void startProgressTimer(long delayMs) {
    tokensAtTimerStart = responseBuilder.tokenCount();
    progressTimer = vertx.setTimer(delayMs, fired -> checkProgress());
  }

  private void checkProgress() {
    if (ended) {
      return;
    }
    if (responseBuilder.tokenCount() > tokensAtTimerStart) {
      startProgressTimer(timeouts.stallMs());
      return;
    }
    if (request != null) {
      request.reset();
    }
    fail(EndpointFailure.Kind.TIMED_OUT, "no token in time after " + responseBuilder.tokenCount());
  }

  private void markEnded() {
    ended = true;
    vertx.cancelTimer(progressTimer);
  }
}
