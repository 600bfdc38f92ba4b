package org.hyssophitch.bench.model;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.document.DocumentReader;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.standin.DeploymentFiles;
import org.hyssophitch.wire.yaml.YamlResult;

/** Reads the configuration document of a deployment. Stateless. */
public final class DeploymentConfiguration {

    private DeploymentConfiguration() {}

    /** Returns the configuration of a deployment, without a version. */
    public static Configuration of(Deployment d) {
        return switch (DocumentReader.read(DeploymentFiles.document(d))) {
            case YamlResult.Valid<Configuration> v -> v.value();
            case YamlResult.Invalid<Configuration> i -> throw new FaultyDocumentException(d, i.faults());
        };
    }
}
