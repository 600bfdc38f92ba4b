package org.hyssophitch.bench.model;

import java.util.List;

import org.hyssophitch.standin.Deployment;
import org.hyssophitch.wire.yaml.Fault;

/** Thrown if the generated configuration document of a deployment is invalid, which is a bug in its generator. */
final class FaultyDocumentException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    FaultyDocumentException(Deployment deployment, List<Fault> faults) {
        super("configuration document of deployment " + deployment + " is invalid: " + faults);
    }
}
