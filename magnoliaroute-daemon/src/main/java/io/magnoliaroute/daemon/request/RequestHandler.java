package io.magnoliaroute.daemon.request;

/** Carries out requests. */
@FunctionalInterface
public interface RequestHandler {

  /** Carries out the request and replies exactly once. Runs on the context of the sink. */
  void handle(CallerRequest request, ReplySink sink);
}
