package io.magnoliaroute.daemon;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** The command line of the daemon. */
@Command(
    name = "magnoliaroute-daemon",
    description =
        "Schedules agent programs in front of model engines and plain services. Give --settings"
            + " FILE, or --standalone to try it on one machine; --standalone keeps nothing.")
public final class DaemonCommand {

  @AirlineModule HelpOption<DaemonCommand> help;

  @Option(
      name = "--settings",
      title = "FILE",
      description = "YAML file with the settings of this process")
  String settingsFile;

  @Option(
      name = "--standalone",
      description =
          "Run with a built-in log, engine and service in this process. Programs, history and"
              + " settings are lost at the exit: standalone keeps nothing.")
  boolean standalone;

  @Option(
      name = "--platform",
      description =
          "Serve clients on the platform; the variable MAGNOLIAROUTE_SETTINGS names the settings")
  boolean platform;

  @Option(
      name = "--http",
      title = "HOST:PORT",
      description = "Where --standalone listens for callers; default 127.0.0.1:8080")
  String http = "127.0.0.1:8080";
}
