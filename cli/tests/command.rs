//! The commands against the operators' API over the stand-in of the platform.

mod command {
    pub mod bench;
}

use std::net::TcpListener;

use command::bench::{Bench, run};
use rosebend::report::Exit;
use serde_json::{Value, json};

fn resources() -> Value {
    json!([
        {"kind": "endpoint", "name": "agent-llm-1",
         "spec": {"sidecar_address": "127.0.0.1:9101", "availability_zone": "harbour-hall",
                  "kind": "engine", "serves": ["agent-llm"]}},
        {"kind": "customer", "name": "caribmar",
         "spec": {"share_weight": 3, "budget_ceiling_tokens": 500_000}},
        {"kind": "session", "name": "caribmar/renewal-17", "spec": {"budget_tokens": 90_000}},
        {"kind": "model", "name": "agent-llm",
         "spec": {"context_tokens": 32_768, "max_answer_tokens": 4_096}},
    ])
}

#[actix_rt::test]
async fn resources_are_applied_shown_and_removed() {
    let bench = Bench::start("shown").await;
    let file = bench.file("resources.json", &resources());
    let mut shown = String::new();
    let commands: [&[&str]; 10] = [
        &["apply", "-f", &file, "--dry-run"],
        &["apply", "-f", &file],
        &["apply", "-f", &file],
        &["list"],
        &["list", "endpoint"],
        &["list", "tool"],
        &["get", "session/caribmar/renewal-17"],
        &["drain", "agent-llm-1"],
        &["delete", "model/agent-llm"],
        &["status"],
    ];
    for arguments in commands {
        let (exit, out, err) = bench.run(arguments).await;
        assert_eq!((exit, err.as_str()), (Exit::Done, ""), "{arguments:?}");
        let words = arguments.join(" ").replace(&file, "resources.json");
        shown.push_str(&format!("$ rosebend {words}\n{out}\n"));
    }
    insta::assert_snapshot!(shown);
    bench.stop().await;
}

#[actix_rt::test]
async fn the_example_resources_are_accepted() {
    let bench = Bench::start("examples").await;
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/resources");
    let (exit, _, err) = bench.run(&["apply", "-f", examples]).await;
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    insta::assert_snapshot!(bench.run(&["list"]).await.1);
    bench.stop().await;
}

#[actix_rt::test]
async fn json_is_for_programs() {
    let bench = Bench::start("json").await;
    let file = bench.file("resources.json", &resources());
    let (_, out, _) = bench.run(&["apply", "-f", &file, "--output", "json"]).await;
    let applied: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(applied[0]["resource"], "customer/caribmar");
    let (_, out, _) = bench
        .run(&["get", "customer/caribmar", "--output", "json"])
        .await;
    let resource: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(resource["metadata"]["changed_at_revision"], 1);

    // What `get` shows can be changed and applied, if nobody was faster.
    let mut edited = resource;
    edited["spec"]["share_weight"] = json!(4);
    let edited = bench.file("edited.json", &edited);
    assert_eq!(bench.run(&["apply", "-f", &edited]).await.0, Exit::Done);
    let mut late = resources()[1].clone();
    late["metadata"] = json!({"changed_by": "desk", "changed_at_revision": 1});
    let late = bench.file("late.json", &late);
    let (exit, _, err) = bench.run(&["apply", "-f", &late]).await;
    assert_eq!(exit.code(), 1);
    insta::assert_snapshot!(err);
    bench.stop().await;
}

#[actix_rt::test]
async fn all_files_are_checked_before_anything_is_sent() {
    let bench = Bench::start("checked").await;
    let folder = bench.folder("mixed");
    bench.file("mixed/good.json", &resources());
    bench.file(
        "mixed/wrong.json",
        &json!({"kind": "customer", "name": "b", "spec": {}}),
    );
    bench.file("mixed/twice.json", &resources()[1]);
    let (exit, _, err) = bench.run(&["apply", "-f", &folder]).await;
    assert_eq!(exit.code(), 2);
    insta::assert_snapshot!(err.replace(&folder, "mixed"));
    let (_, out, _) = bench.run(&["list", "--output", "json"]).await;
    assert_eq!(out, "[]\n");
    bench.stop().await;
}

#[actix_rt::test]
async fn a_watch_shows_each_change_once() {
    let bench = Bench::start("watch").await;
    let file = bench.file("resources.json", &resources());
    bench.run(&["apply", "-f", &file]).await;
    bench.run(&["delete", "model/agent-llm"]).await;
    let (exit, out, _) = bench.run(&["watch", "--after", "1", "--count", "4"]).await;
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
    bench.stop().await;
}

#[actix_rt::test]
async fn a_program_is_shown_and_ended() {
    let bench = Bench::start("program").await;
    let (exit, out, _) = bench
        .run(&["program", "show", "caribmar/renewal-17/check"])
        .await;
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
    let (exit, out, _) = bench.run(&["end", "caribmar/renewal-17"]).await;
    assert_eq!(
        (exit, out.lines().last()),
        (Exit::Done, Some("caribmar/renewal-17  ended"))
    );
    bench.stop().await;
}

#[actix_rt::test]
async fn the_exit_code_tells_refused_from_not_reached_from_unknown() {
    let bench = Bench::start("exit").await;
    let file = bench.file("resources.json", &resources());
    assert_eq!(bench.run(&["get", "customer/caribmar"]).await.0.code(), 1);
    // Nobody has revision 9 seen, so that the wait for it ends with a refusal.
    assert_eq!(
        bench
            .run(&["status", "--revision", "9", "--wait", "1"])
            .await
            .0
            .code(),
        1
    );

    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let nobody = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let (exit, _, err) = run(&nobody, &bench.token_file(), &["apply", "-f", &file]).await;
    assert_eq!((exit.code(), err.lines().count()), (3, 1), "{err}");

    // The table takes the change and nobody hears of it: neither the entry's
    // answer nor what it reads back comes through.
    bench.lose_answers_to_puts();
    let (exit, _, err) = bench.run(&["apply", "-f", &file]).await;
    assert_eq!(exit.code(), 4, "{err}");
    bench.stop().await;
}

#[actix_rt::test]
async fn a_lost_answer_is_read_back() {
    let bench = Bench::start("lost").await;
    let file = bench.file("resources.json", &resources()[1]);
    bench.cut_next_put();
    let (exit, out, err) = bench.run(&["apply", "-f", &file]).await;
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    assert!(out.contains("customer/caribmar  accepted  1"), "{out}");
    bench.stop().await;
}
