package org.hyssophitch.standin.command;

import java.util.Locale;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import org.hyssophitch.standin.Deployment;

/** Option that selects the deployment. */
public final class ProfileOption {

    @Option(name = "--profile", title = "profile", description = "glenmorven or lakeshore")
    @AllowedRawValues(allowedValues = {"glenmorven", "lakeshore"})
    private String profile = "glenmorven";

    Deployment deployment() {
        return Deployment.valueOf(profile.toUpperCase(Locale.ROOT));
    }
}
