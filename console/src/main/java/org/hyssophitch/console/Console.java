package org.hyssophitch.console;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.hyssophitch.document.ApplyResult;
import org.hyssophitch.document.DocumentStore;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.platform.ConfigurationRecords.ConfigurationRecord;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.platform.PlatformResult;
import org.tinylog.Logger;

/**
 * Web console for operators. Thread-safe and stateless: all state is in the submitted forms and in the platform's
 * object API.
 */
public final class Console {

    private static final int UNPROCESSABLE = 422;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final ConsoleSettings settings;
    private final DocumentStore documents;
    private final Javalin server;

    /**
     * Creates a console that does not listen until it is started.
     *
     * @param settings settings of the process
     */
    public Console(ConsoleSettings settings) {
        this.settings = settings;
        this.documents = new DocumentStore(new PlatformClient(settings.platform()));
        this.server = Javalin.create(this::configure);
    }

    /** Starts the HTTP server. */
    public void start() {
        InetSocketAddress listen = Addresses.parse(settings.listen());
        server.start(listen.getHostString(), listen.getPort());
        Logger.info("console listening at http://{}/", settings.listen());
    }

    /** Stops the HTTP server. A form that is open in a browser can still be submitted after a restart. */
    public void stop() {
        server.stop();
    }

    private void configure(JavalinConfig config) {
        config.concurrency.useVirtualThreads = true;
        config.startup.showJavalinBanner = false;
        config.routes.get("/", this::showForm);
        config.routes.get("/document", this::showDocument);
        config.routes.post("/form", c -> apply(c, DocumentForm.toDocument(f -> formParameter(c, f))));
        config.routes.post("/document", c -> apply(c, formParameter(c, "document")));
    }

    private void showForm(Context context) {
        String notice = context.queryParam("accepted") == null
                ? ""
                : "Accepted as version " + context.queryParam("accepted") + ".";
        show(context, r -> Pages.form(r, notice));
    }

    private void showDocument(Context context) {
        show(context, r -> Pages.editor(r.documentYaml(), r.configuration().version(), "", List.of(), ""));
    }

    private void show(Context context, Function<ConfigurationRecord, String> page) {
        switch (documents.read()) {
            case PlatformResult.Found<ConfigurationRecord> f -> context.html(page.apply(f.value()));
            case PlatformResult.Absent<ConfigurationRecord> a -> context.html(Pages.firstDocument());
            default ->
                context.status(UNAVAILABLE)
                        .html(new Html()
                                .raw("<p class=\"fault\">The document cannot be read from the platform.</p>")
                                .page("hyssophitch"));
        }
    }

    private void apply(Context context, String document) {
        long version = version(context);
        String author = formParameter(context, "author").isBlank() ? "console" : formParameter(context, "author");
        switch (documents.apply(document, author, version)) {
            case ApplyResult.Accepted a -> context.redirect("/?accepted=" + a.version());
            case ApplyResult.Invalid i ->
                context.status(UNPROCESSABLE)
                        .html(Pages.editor(
                                document,
                                version,
                                author,
                                i.faults(),
                                "The document is invalid and was not accepted."));
            case ApplyResult.Conflict c -> context.status(CONFLICT).html(Pages.conflict(document, author, c.current()));
            case ApplyResult.Unknown u ->
                context.status(UNAVAILABLE).html(Pages.unknownOutcome(document, version, author, u.cause()));
        }
    }

    private static String formParameter(Context context, String field) {
        String value = context.formParam(field);
        return value == null ? "" : value;
    }

    private static long version(Context context) {
        String value = formParameter(context, "version");
        return value.matches("\\d{1,18}") ? Long.parseLong(value) : 0;
    }
}
