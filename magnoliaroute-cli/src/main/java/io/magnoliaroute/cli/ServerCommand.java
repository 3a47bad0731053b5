package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.Optional;

/** A command that talks to a server. */
public abstract class ServerCommand extends BaseCommand {

  static final String SERVER_VARIABLE = "MAGNOLIAROUTE_SERVER";
  static final String TOKEN_VARIABLE = "MAGNOLIAROUTE_TOKEN";
  private static final String DEFAULT_SERVER = "http://127.0.0.1:8080";
  private static final long DEFAULT_TIMEOUT_MS = 30_000;

  @Option(
      name = {"--server"},
      title = "url",
      description =
          "address of any VM (default: " + SERVER_VARIABLE + " or " + DEFAULT_SERVER + ")")
  String server;

  @Option(
      name = {"--token-file"},
      title = "file",
      description = "file with the token (default: the variable " + TOKEN_VARIABLE + ")")
  String tokenFile;

  @Option(
      name = {"--timeout-ms"},
      title = "ms",
      description = "longest wait for an answer (default: 30000)")
  long timeoutMs = DEFAULT_TIMEOUT_MS;

  @Override
  final ExitCode run(Terminal terminal) throws CommandFailure {
    prepare(terminal);
    if (timeoutMs < 1) {
      throw new CommandFailure(ExitCode.USAGE, "--timeout-ms must be positive, was " + timeoutMs);
    }
    try (ApiClient client = new ApiClient(serverUri(terminal), token(terminal), timeoutMs)) {
      return run(terminal, client);
    }
  }

  /** Checks arguments and files before anything is sent. */
  void prepare(Terminal terminal) throws CommandFailure {}

  abstract ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure;

  /** Sends a request and returns the body; a refusal ends the command. */
  static JsonObject request(
      ApiClient client, HttpMethod method, String path, Optional<JsonObject> body)
      throws CommandFailure {
    ApiReply reply = client.call(method, path, body);
    if (!reply.done()) {
      throw reply.failure();
    }
    return reply.body();
  }

  static JsonObject get(ApiClient client, String path) throws CommandFailure {
    return request(client, HttpMethod.GET, path, Optional.empty());
  }

  private URI serverUri(Terminal terminal) throws CommandFailure {
    String text =
        server != null
            ? server
            : terminal.environment().getOrDefault(SERVER_VARIABLE, DEFAULT_SERVER);
    try {
      URI uri = URI.create(text);
      if (uri.getHost() != null && ("http".equals(uri.getScheme()) || isTls(uri))) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw new CommandFailure(ExitCode.USAGE, "--server is not a URL: '" + text + "'");
    }
    throw new CommandFailure(
        ExitCode.USAGE, "--server must start with http:// or https://, was '" + text + "'");
  }

  private static boolean isTls(URI uri) {
    return "https".equals(uri.getScheme());
  }

  /** Returns the token; messages never contain it. */
  private String token(Terminal terminal) throws CommandFailure {
    String token =
        tokenFile != null
            ? readFile(tokenFile).strip()
            : terminal.environment().getOrDefault(TOKEN_VARIABLE, "").strip();
    if (token.isEmpty()) {
      throw new CommandFailure(
          ExitCode.USAGE, "no token: give --token-file or set " + TOKEN_VARIABLE);
    }
    if (token.chars().anyMatch(c -> c <= ' ' || c > '~')) {
      throw new CommandFailure(
          ExitCode.USAGE, "the token has characters that a header cannot carry");
    }
    return token;
  }
}
