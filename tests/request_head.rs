//! Heads of requests with few and with many fields, well-formed and malformed ones. Those with more fields than
//! the library accepts have to follow the same rules.

use std::fmt::Write;

use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::ServiceConfig;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::HeaderName;
use actix_rt::System;
use bytes::BytesMut;
use googletest::prelude::*;
use sycamorewick::transport::request_head;
use sycamorewick::transport::request_head::DecodedHead;
use tokio_util::codec::Decoder;

/// Limit of the usual configuration.
const MAX_BYTES: usize = 16_384;
/// Numbers of further fields, below and above the bound of the library.
const FURTHER_FIELDS: [usize; 4] = [0, 80, 120, 900];

/// Returns a head with further fields between its request line and its last lines.
fn head(request_line: &str, further: usize, lines: &str) -> String {
    let mut text = format!("{request_line}\r\n");
    for number in 0..further {
        write!(text, "f-{number}: {number}\r\n").expect("a string grows");
    }
    text + lines + "\r\n"
}

/// Runs a test where the library can start the task that keeps the date of its responses.
fn in_system(test: impl FnOnce()) {
    System::new().block_on(async { test() });
}

type Decoded = std::result::Result<Option<DecodedHead>, ParseError>;

fn decode(codec: &mut Codec, buf: &mut BytesMut) -> Decoded {
    request_head::decode(codec, buf, MAX_BYTES, true)
}

fn decode_text(text: &str) -> Decoded {
    decode(
        &mut Codec::new(ServiceConfig::default()),
        &mut BytesMut::from(text),
    )
}

/// Values of a field, in their order.
fn values(req: &Request, name: &'static str) -> Vec<String> {
    let name = HeaderName::from_static(name);
    let values = req.headers().get_all(name);
    values
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        .collect()
}

/// Guards against a bound on the number of fields far below the limit of the configuration.
#[gtest]
fn decode_any_number_of_fields() {
    in_system(|| {
        for further in (0..110).chain([500, 900, 1_100]) {
            let text = head("GET /a?b=c HTTP/1.1", further, "host: x\r\n");
            assert_that!(text.len(), le(MAX_BYTES));
            let mut buf = BytesMut::from(format!("{text}rest").as_str());
            let mut codec = Codec::new(ServiceConfig::default());
            let decoded = decode(&mut codec, &mut buf).expect("it is well-formed");
            let decoded = decoded.expect("it is complete");
            expect_that!(decoded.bytes, eq(text.len()));
            expect_that!(&buf[..], eq(b"rest"));
            expect_that!(decoded.request.uri().to_string(), eq("/a?b=c"));
            expect_that!(decoded.request.headers().len(), eq(further + 1));
            expect_true!(codec.message_type() == MessageType::None);
        }
    });
}

/// Guards against fields that are lost, joined or reordered in heads with many fields.
#[gtest]
fn decode_repeated_and_empty_fields() {
    in_system(|| {
        for further in FURTHER_FIELDS {
            let lines = "Host: x\r\nTwice: one\r\nempty:\r\ntwice:  two \r\nConnection: close\r\n";
            let decoded = decode_text(&head("GET / HTTP/1.1", further, lines));
            let req = decoded
                .expect("it is well-formed")
                .expect("it is complete")
                .request;
            expect_that!(values(&req, "twice"), eq(&vec!["one", "two"]));
            expect_that!(values(&req, "empty"), eq(&vec![""]));
            expect_that!(values(&req, "host"), eq(&vec!["x"]));
            expect_true!(req.head().connection_type() == ConnectionType::Close);
            expect_that!(req.headers().len(), eq(further + 5));
        }
    });
}

/// Guards against a body that is read with another length than the head announces.
#[gtest]
fn decode_body_after_head() {
    in_system(|| {
        for further in FURTHER_FIELDS {
            for (lines, body) in [
                ("host: x\r\ncontent-length: 4\r\n", "body"),
                (
                    "host: x\r\nTransfer-Encoding: chunked\r\n",
                    "4\r\nbody\r\n0\r\n\r\n",
                ),
            ] {
                let text = head("POST / HTTP/1.1", further, lines) + body + "GET";
                let mut buf = BytesMut::from(text.as_str());
                let mut codec = Codec::new(ServiceConfig::default());
                let decoded = decode(&mut codec, &mut buf).expect("it is well-formed");
                expect_true!(decoded.is_some());
                let chunk = codec.decode(&mut buf).expect("the body is well-formed");
                let Some(Message::Chunk(Some(chunk))) = chunk else {
                    panic!("no body");
                };
                expect_that!(&chunk[..], eq(b"body"));
                let end = codec.decode(&mut buf).expect("the body is well-formed");
                expect_true!(matches!(end, Some(Message::Chunk(None))));
                expect_that!(&buf[..], eq(b"GET"));
            }
        }
    });
}

/// Guards against a head that is decoded before it is complete, or differently if it arrives in pieces.
#[gtest]
fn decode_in_pieces() {
    in_system(|| {
        for further in [0, 88, 89, 90, 95, 96, 97, 200] {
            let text = head("\r\nGET / HTTP/1.1", further, "host: x\r\n");
            let mut codec = Codec::new(ServiceConfig::default());
            let mut buf = BytesMut::new();
            let mut decoded = None;
            for (index, byte) in text.bytes().enumerate() {
                expect_true!(decoded.is_none(), "{index} of {} bytes", text.len());
                buf.extend_from_slice(&[byte]);
                decoded = decode(&mut codec, &mut buf).expect("it is well-formed");
            }
            let decoded = decoded.expect("it is complete");
            expect_that!(decoded.request.headers().len(), eq(further + 1));
            expect_true!(buf.is_empty());
        }
    });
}

/// Guards against heads beyond the limit that are accepted, or kept until they are complete.
#[gtest]
fn decode_beyond_the_limit() {
    in_system(|| {
        let fits = |field: usize| {
            let lines = format!("host: x\r\nlong: {}\r\n", "a".repeat(field));
            head("GET / HTTP/1.1", 200, &lines)
        };
        let length = fits(0).len();
        let longest = fits(MAX_BYTES - length);
        expect_true!(matches!(decode_text(&longest), Ok(Some(_))));
        let too_long = fits(MAX_BYTES - length + 1);
        expect_true!(matches!(decode_text(&too_long), Err(ParseError::TooLarge)));
        for incomplete in ["a".repeat(MAX_BYTES + 1), "\r\n".repeat(MAX_BYTES / 2 + 1)] {
            expect_true!(matches!(
                decode_text(&incomplete),
                Err(ParseError::TooLarge)
            ));
        }
        // A port without such clients keeps the bound of the library.
        let many = head("GET / HTTP/1.1", 200, "host: x\r\n");
        let mut codec = Codec::new(ServiceConfig::default());
        let decoded = request_head::decode(&mut codec, &mut many.as_str().into(), MAX_BYTES, false);
        expect_true!(matches!(decoded, Err(ParseError::TooLarge)));
    });
}

/// Guards against request smuggling: a head whose framing is ambiguous must be refused, with many fields as well.
#[gtest]
fn decode_ambiguous_framing() {
    in_system(|| {
        for further in FURTHER_FIELDS {
            for lines in [
                "content-length: 4\r\ntransfer-encoding: chunked\r\n",
                "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
                "transfer-encoding: chunked\r\nCONTENT-LENGTH: 0\r\n",
                "content-length: 4\r\ncontent-length: 5\r\n",
                "content-length: 4\r\nContent-Length: 4\r\n",
                "content-length: 4, 4\r\n",
                "content-length: +4\r\n",
                "content-length: -4\r\n",
                "content-length: 0x4\r\n",
                "content-length: 4 4\r\n",
                "content-length:\r\n",
                "content-length: 18446744073709551616\r\n",
                "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
                "transfer-encoding: identity\r\ntransfer-encoding: chunked\r\n",
                "transfer-encoding: xchunked\r\n",
                "transfer-encoding: chunked, gzip\r\n",
                "transfer-encoding: \u{b}chunked\r\n",
                "content-length : 4\r\n",
                "content-length\t: 4\r\n",
                "transfer-encoding : chunked\r\n",
                " content-length: 4\r\n",
                "content-length:\r\n 4\r\n",
                "a: b\r\n content-length: 4\r\n",
                "a: b\r\n\ttransfer-encoding: chunked\r\n",
                "a: b\rcontent-length: 4\r\n",
                "host: y\r\n",
            ] {
                let lines = format!("host: x\r\n{lines}");
                let decoded = decode_text(&head("POST / HTTP/1.1", further, &lines));
                expect_true!(decoded.is_err(), "{lines:?} with {further} fields");
            }
            let decoded = decode_text(&head(
                "POST / HTTP/1.0",
                further,
                "transfer-encoding: chunked\r\n",
            ));
            expect_true!(decoded.is_err());
        }
    });
}

/// Guards against malformed heads that are accepted, or on which the process panics.
#[gtest]
fn decode_malformed() {
    in_system(|| {
        for further in FURTHER_FIELDS {
            for (line, lines) in [
                ("GET / HTTP/1.1", ""),
                ("GET / HTTP/2.0", "host: x\r\n"),
                ("GET /", "host: x\r\n"),
                ("GET  HTTP/1.1", "host: x\r\n"),
                ("G\u{0}T / HTTP/1.1", "host: x\r\n"),
                ("GET /\u{1} HTTP/1.1", "host: x\r\n"),
                (" GET / HTTP/1.1", "host: x\r\n"),
                ("GET / HTTP/1.1", "host: x\r\n: b\r\n"),
                ("GET / HTTP/1.1", "host: x\r\nno colon\r\n"),
                ("GET / HTTP/1.1", "host: x\r\na b: c\r\n"),
                ("GET / HTTP/1.1", "host: x\r\na\u{e9}: c\r\n"),
                ("GET / HTTP/1.1", "host: x\r\na: \u{0}\r\n"),
                ("GET / HTTP/1.1", "host: x\r\na: \u{7f}\r\n"),
            ] {
                let decoded = decode_text(&head(line, further, lines));
                expect_true!(decoded.is_err(), "{line:?} {lines:?} with {further} fields");
            }
        }
    });
}

/// Guards against a head that is decoded before there is memory for it, since its size was not known: each head that
/// the decoder takes has a size before, with as many bytes and at least as many fields.
#[gtest]
fn complete_size_as_decoded() {
    in_system(|| {
        let mut count = 0;
        for further in [0, 1, 88, 89, 90, 120] {
            for start in ["", "\r\n", "\n\n", "\r\n\n"] {
                for (end, lines) in [
                    ("\r\n", "host: x\r\n"),
                    ("\n", "host: x\n\n"),
                    ("\r\n", "host: x\r\n\n"),
                    ("\n", "host: x\ncontent-length: 3\n\r\n"),
                    ("\r\n", "host: x\r\n folded\r\n"),
                    ("\r\n", "host: x\r\n\r"),
                    ("\r\n", ""),
                ] {
                    let text = format!("{start}{}abc", head("GET / HTTP/1.1", further, lines));
                    let text = text.replace("HTTP/1.1\r\n", &format!("HTTP/1.1{end}"));
                    // A head of many fields cannot end before its last lines.
                    let first = if further > 1 { text.len() - 24 } else { 0 };
                    for length in first..=text.len() {
                        let part = &text[..length];
                        let size = request_head::complete_size(part.as_bytes());
                        let Ok(Some(decoded)) = decode_text(part) else {
                            continue;
                        };
                        count += 1;
                        let fields = decoded.request.headers().len();
                        let known = size.map(|size| (size.bytes, size.fields >= fields));
                        expect_that!(known, some(eq((decoded.bytes, true))), "{part:?}");
                    }
                }
            }
        }
        expect_that!(count, ge(100));
    });
}
