package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.Optional;

/** Base class of commands that send requests to a server. */
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
      description = "file that contains the token (default: the variable " + TOKEN_VARIABLE + ")")
  String tokenFile;

  @Option(
      name = {"--timeout-ms"},
      title = "ms",
      description = "longest wait for response data (default: 30000)")
  long timeoutMs = DEFAULT_TIMEOUT_MS;

  @Override
  final ExitCode run(Terminal terminal) throws CommandException {
    prepare(terminal);
    if (timeoutMs < 1) {
      throw new CommandException(ExitCode.USAGE, "--timeout-ms must be positive, was " + timeoutMs);
    }
    try (ApiClient client =
        new ApiClient(resolveServerUri(terminal), resolveToken(terminal), timeoutMs)) {
      return run(terminal, client);
    }
  }

  /** Validates arguments and files before any request is sent. */
  void prepare(Terminal terminal) throws CommandException {}

  abstract ExitCode run(Terminal terminal, ApiClient client) throws CommandException;

  /**
   * Sends a request and returns the response body; a response that is not done ends the command.
   */
  static JsonObject request(
      ApiClient client, HttpMethod method, String path, Optional<JsonObject> body)
      throws CommandException {
    ApiResponse response = client.execute(method, path, body);
    if (!response.isDone()) {
      throw response.toException();
    }
    return response.body();
  }

  static JsonObject get(ApiClient client, String path) throws CommandException {
    return request(client, HttpMethod.GET, path, Optional.empty());
  }

  private URI resolveServerUri(Terminal terminal) throws CommandException {
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
      throw new CommandException(ExitCode.USAGE, "--server is not a valid URL: '" + text + "'");
    }
    throw new CommandException(
        ExitCode.USAGE, "--server must start with http:// or https://, was '" + text + "'");
  }

  private static boolean isTls(URI uri) {
    return "https".equals(uri.getScheme());
  }

  /** Returns the token; error messages never contain it. */
  private String resolveToken(Terminal terminal) throws CommandException {
    String token =
        tokenFile != null
            ? readFile(tokenFile).strip()
            : terminal.environment().getOrDefault(TOKEN_VARIABLE, "").strip();
    if (token.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "no token: use --token-file or set " + TOKEN_VARIABLE);
    }
    if (token.chars().anyMatch(c -> c <= ' ' || c > '~')) {
      throw new CommandException(
          ExitCode.USAGE, "the token contains characters that are not allowed in an HTTP header");
    }
    return token;
  }
}
