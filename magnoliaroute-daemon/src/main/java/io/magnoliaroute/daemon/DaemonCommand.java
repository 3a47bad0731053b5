package io.magnoliaroute.daemon;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** The command-line options of the daemon. */
@Command(
    name = "magnoliaroute-daemon",
    description =
        "Schedules agent programs in front of model engines and plain services. Requires --settings"
            + " FILE or, to try it on one machine, --standalone, which persists no data.")
public final class DaemonCommand {

  @AirlineModule HelpOption<DaemonCommand> help;

  @Option(name = "--settings", title = "FILE", description = "YAML file with the process settings")
  String settingsFile;

  @Option(
      name = "--standalone",
      description =
          "Run with a built-in log, engine and service in this process. No data is persisted:"
              + " programs, history and settings are lost on exit.")
  boolean standalone;

  @Option(
      name = "--platform",
      description =
          "Serve clients on the platform; the variable MAGNOLIAROUTE_SETTINGS contains the path"
              + " of the settings file")
  boolean platform;

  @Option(
      name = "--http",
      title = "HOST:PORT",
      description = "HTTP listen address of --standalone; default 127.0.0.1:8080")
  String http = "127.0.0.1:8080";
}
