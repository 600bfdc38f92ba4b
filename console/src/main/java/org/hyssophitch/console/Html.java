package org.hyssophitch.console;

/** Builds one HTML page; text and values are escaped, raw markup is not. Not thread-safe. */
final class Html {

    private static final String STYLE =
            """
            body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:72rem;padding:0 1rem;color:#1c2430}
            h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:1.6rem}
            fieldset{border:1px solid #c6cdd6;border-radius:6px;margin:.8rem 0;padding:.6rem 1rem}
            legend{font-weight:600;padding:0 .4rem}
            label{display:inline-block;margin:.25rem 1rem .25rem 0}
            input,select,textarea{font:inherit;padding:.15rem .4rem;border:1px solid #9aa5b1;border-radius:4px}
            input[type=number]{width:7rem}table{border-collapse:collapse;width:100%}
            td,th{padding:.2rem .4rem;text-align:left;border-bottom:1px solid #e3e7ec}
            button{font:inherit;padding:.35rem .9rem;border-radius:4px;border:1px solid #1f5fa8;background:#1f5fa8;
            color:#fff;cursor:pointer}button.plain{background:#fff;color:#1f5fa8}
            .fault{background:#fdecea;border-left:4px solid #c0392b;padding:.5rem .8rem;margin:.6rem 0}
            .good{background:#e9f6ec;border-left:4px solid #2e8b57;padding:.5rem .8rem;margin:.6rem 0}
            .pair{display:grid;grid-template-columns:1fr 1fr;gap:1rem}
            textarea{box-sizing:border-box;width:100%;height:28rem;font:13px/1.4 ui-monospace,monospace}
            pre{background:#f5f7f9;padding:.6rem;overflow:auto;max-height:28rem;font:13px/1.4 ui-monospace,monospace}
            """;

    private final StringBuilder text = new StringBuilder();

    /** Adds markup without escaping it. */
    Html raw(String markup) {
        text.append(markup);
        return this;
    }

    /** Adds escaped text. */
    Html text(Object value) {
        text.append(escape(String.valueOf(value)));
        return this;
    }

    /** Adds an input element with a label. */
    Html field(String label, String type, String name, Object value) {
        return raw("<label>").text(label).raw(" ").input(type, name, value).raw("</label>");
    }

    /** Adds an input element. */
    Html input(String type, String name, Object value) {
        String step = type.equals("number") ? " step=\"any\"" : "";
        return raw("<input type=\"" + type + "\"" + step + " name=\"")
                .text(name)
                .raw("\" value=\"")
                .text(value)
                .raw("\">");
    }

    /** Adds a select element with a label. */
    Html select(String label, String name, Iterable<String> values, String selected) {
        raw("<label>").text(label).raw(" <select name=\"").text(name).raw("\">");
        values.forEach(v -> raw("<option" + (v.equals(selected) ? " selected" : "") + ">")
                .text(v)
                .raw("</option>"));
        return raw("</select></label>");
    }

    /** Returns the complete page. */
    String page(String title) {
        return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape(title)
                + "</title><style>" + STYLE + "</style></head><body><h1>" + escape(title) + "</h1>" + text
                + "</body></html>";
    }

    private static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
