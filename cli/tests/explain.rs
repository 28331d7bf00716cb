//! Tests of the story of a request that are independent of the gateway's events.

use rosebend::explain::Story;

/// Guards against steps that are left out, or printed without their fields, because they come
/// from a gateway of a later version.
#[test]
fn unknown_events_and_fields_of_a_request_are_shown() {
    let lines = [
        r#"3.0 gateway-1 {"at_ms":100,"host":"gateway-1","event":803,"name":"request-arrived","level":"info","version":1,"attempt":"t1"}"#,
        r#"{"at_ms":101,"host":"gateway-1","event":9999,"name":"not-yet-known","level":"info","expected_wait_ms":120,"free_slots":0,"is_over":true,"customer":"ship","attempt":"t1"}"#,
        r#"{"at_ms":102,"host":"gateway-1","event":802,"name":"request-ended","level":"warn","attempt":"t1","route":"turns","program":"p1","status":503,"elapsed_ms":2,"reason":"over-share"}"#,
    ];
    let expected = "     0 ms  gateway-1  t1  request-arrived version=1
     1 ms  gateway-1  t1  not-yet-known customer=ship expected_wait_ms=120 free_slots=0 is_over=true
     2 ms  gateway-1  t1  request-ended elapsed_ms=2 program=p1 reason=over-share route=turns status=503
";
    for id in ["t1", "p1"] {
        assert_eq!(Story::tell(id, lines).text(), expected);
    }
}
