package io.magnoliaroute.daemon.request;

/** Handles requests. */
@FunctionalInterface
public interface RequestHandler {

  /** Handles the request and replies exactly once. Called on the context of the sink. */
  void handle(CallerRequest request, ReplySink sink);
}
