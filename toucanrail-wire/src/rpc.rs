//! Calls between the system's own processes: HTTP with `rmp-serde`, one at a time on a connection.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanrail::framing::BodyDecoder;
use toucanrail::scanners::BodyLength;

use crate::connections::BufferedConnection;
use crate::heads::{RequestHead, ResponseHead};

/// Largest head and body of such a message.
const HEAD_LIMIT: usize = 4 * 1024;
const BODY_LIMIT: usize = 1024 * 1024;

/// Makes one call.
pub async fn call<Order, Reply>(
    channel: &mut BufferedConnection,
    path: &str,
    order: &Order,
) -> io::Result<Reply>
where
    Order: Serialize,
    Reply: DeserializeOwned,
{
    let body = rmp_serde::to_vec_named(order).map_err(io::Error::other)?;
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: fleet\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    channel.writer().write_all(&bytes).await?;
    let bytes = channel.read_head(HEAD_LIMIT).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let head = ResponseHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
    if head.status != 200 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    decode(&read_body(channel, head.length).await?)
}

/// Reads one call; none at the end of the connection.
pub async fn read_call(
    channel: &mut BufferedConnection,
) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
    let Some(bytes) = channel.read_head(HEAD_LIMIT).await? else {
        return Ok(None);
    };
    let head = RequestHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
    let body = read_body(channel, head.length).await?;
    Ok(Some((head, body)))
}

/// Answers one call.
pub async fn reply<Reply>(channel: &BufferedConnection, reply: &Reply) -> io::Result<()>
where
    Reply: Serialize,
{
    let body = rmp_serde::to_vec_named(reply).map_err(io::Error::other)?;
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(&body);
    channel.writer().write_all(&bytes).await
}

/// Decodes the body of a call.
pub fn decode<Message>(body: &[u8]) -> io::Result<Message>
where
    Message: DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(io::Error::other)
}

async fn read_body(channel: &mut BufferedConnection, length: BodyLength) -> io::Result<Vec<u8>> {
    let mut framer = BodyDecoder::for_request(length);
    let mut body = Vec::new();
    loop {
        let taken = framer.feed(&channel.buffer, &mut body);
        channel.buffer.drain(..taken);
        if framer.is_done() {
            return Ok(body);
        }
        if framer.is_malformed() || body.len() > BODY_LIMIT || channel.fill().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}
